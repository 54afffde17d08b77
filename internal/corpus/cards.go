package corpus

import (
	"encoding/csv"
	"errors"
	"io"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Columns of a card file, in the order of cardHeader.
const (
	columnCard = iota
	columnTime
	columnKind
	columnAmount
	columnDescription
	columnCount
)

var cardHeader = []string{"card", "time", "kind", "amount", "description"}

func readCards(reader io.Reader, name string) ([]Record, error) {
	rows := csv.NewReader(reader)
	rows.FieldsPerRecord = columnCount
	header, err := rows.Read()
	if err != nil {
		return nil, eris.Wrap(err, "read header")
	}
	if !slices.Equal(header, cardHeader) {
		return nil, eris.Errorf("line 1: header %q, want %q", strings.Join(header, ","), strings.Join(cardHeader, ","))
	}
	return readCardRows(rows, name)
}

func readCardRows(rows *csv.Reader, name string) ([]Record, error) {
	var records []Record
	for {
		row, err := rows.Read()
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "read row")
		}
		line, _ := rows.FieldPos(columnCard)
		record, err := parseCardRow(row, name, line)
		if err != nil {
			return nil, eris.Wrapf(err, "line %d", line)
		}
		records = append(records, record)
	}
}

func parseCardRow(row []string, name string, line int) (Record, error) {
	if row[columnCard] == "" {
		return Record{}, eris.New("card is empty")
	}
	timestamp, err := time.Parse(time.RFC3339, row[columnTime])
	if err != nil {
		return Record{}, eris.Wrap(err, "parse time")
	}
	return Record{
		Corpus:           Cards,
		ID:               recordID(name, line),
		Index:            strings.TrimSuffix(path.Base(name), cardExtension),
		Document:         row[columnCard],
		Text:             strings.Join(row[columnKind:], " "),
		TimeMilliseconds: timestamp.UnixMilli(),
	}, nil
}
