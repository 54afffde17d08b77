package routing

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record of a part.
const RecordBytes = 16

// MergeTop returns the top largest records of the parts in descending byte order.
// Duplicate records are kept. An incomplete record at the end of a part is ignored.
func MergeTop(parts [][]byte, top int) []byte {
	records := make([][]byte, 0, recordCount(parts))
	for _, part := range parts {
		for at := 0; at+RecordBytes <= len(part); at += RecordBytes {
			records = append(records, part[at:at+RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	merged := make([]byte, 0, len(records)*RecordBytes)
	for _, record := range records {
		merged = append(merged, record...)
	}
	return merged
}

func recordCount(parts [][]byte) int {
	count := 0
	for _, part := range parts {
		count += len(part) / RecordBytes
	}
	return count
}
