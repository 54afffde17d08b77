package corpus

import (
	"fmt"
	"io/fs"
	"path"

	"github.com/rotisserie/eris"
)

// The extensions of the files that are read; others are left aside.
const (
	extensionSubtitles = ".srt"
	extensionCards     = ".csv"
)

// Load reads every subtitle and card file under the root of a file system, in
// the order of their paths. An error names the file and, where known, the
// line.
func Load(files fs.FS) ([]Record, error) {
	var records []Record
	err := fs.WalkDir(files, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		read, err := loadFile(files, name)
		if err != nil {
			return eris.Wrapf(err, "load %s", name)
		}
		records = append(records, read...)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if err := checkUnique(records); err != nil {
		return nil, err
	}
	for i := range records {
		records[i].words = Tokenize(records[i].Text)
	}
	return records, nil
}

func loadFile(files fs.FS, name string) ([]Record, error) {
	extension := path.Ext(name)
	if extension != extensionSubtitles && extension != extensionCards {
		return nil, nil
	}
	file, err := files.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	if extension == extensionSubtitles {
		return readSubtitles(file, name)
	}
	return readCards(file, name)
}

func checkUnique(records []Record) error {
	type key struct{ index, id string }
	seen := make(map[key]bool, len(records))
	for i := range records {
		key := key{records[i].Index, records[i].ID}
		if seen[key] {
			return eris.Errorf("index %s has two records called %s: two files of one name", key.index, key.id)
		}
		seen[key] = true
	}
	return nil
}

func recordID(name string, position int) string {
	return fmt.Sprintf("%s:%05d", path.Base(name), position)
}
