package corpus

import (
	"fmt"
	"io/fs"
	"path"

	"github.com/rotisserie/eris"
)

// Extensions of the files that Load reads; all others are ignored.
const (
	subtitleExtension = ".srt"
	cardExtension     = ".csv"
)

// Load reads all subtitle and card files of a file system in lexical order of
// their paths. Errors include the file name and, where known, the line number.
func Load(files fs.FS) ([]Record, error) {
	var records []Record
	err := fs.WalkDir(files, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		loaded, err := loadFile(files, name)
		if err != nil {
			return eris.Wrapf(err, "load %s", name)
		}
		records = append(records, loaded...)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if err := checkUniqueIDs(records); err != nil {
		return nil, err
	}
	for i := range records {
		records[i].words = Tokenize(records[i].Text)
	}
	return records, nil
}

func loadFile(files fs.FS, name string) ([]Record, error) {
	extension := path.Ext(name)
	if extension != subtitleExtension && extension != cardExtension {
		return nil, nil
	}
	file, err := files.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	if extension == subtitleExtension {
		return readSubtitles(file, name)
	}
	return readCards(file, name)
}

func checkUniqueIDs(records []Record) error {
	type key struct{ index, id string }
	seen := make(map[key]bool, len(records))
	for i := range records {
		key := key{records[i].Index, records[i].ID}
		if seen[key] {
			return eris.Errorf("index %s has duplicate record ID %s: two files share a base name", key.index, key.id)
		}
		seen[key] = true
	}
	return nil
}

func recordID(name string, position int) string {
	return fmt.Sprintf("%s:%05d", path.Base(name), position)
}
