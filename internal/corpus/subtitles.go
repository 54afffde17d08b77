package corpus

import (
	"io"
	"path"
	"strings"

	"github.com/asticode/go-astisub"
	"github.com/rotisserie/eris"
)

// defaultCueIndex is the index of subtitle files in the root directory.
const defaultCueIndex = "cues"

func readSubtitles(reader io.Reader, name string) ([]Record, error) {
	subtitles, err := astisub.ReadFromSRT(reader)
	if err != nil {
		return nil, eris.Wrap(err, "parse SubRip")
	}
	records := make([]Record, 0, len(subtitles.Items))
	for position, item := range subtitles.Items {
		records = append(records, Record{
			Corpus:           Cues,
			ID:               recordID(name, position+1),
			Index:            cueIndex(name),
			Document:         path.Base(name),
			Text:             cueText(item),
			TimeMilliseconds: item.StartAt.Milliseconds(),
		})
	}
	return records, nil
}

func cueIndex(name string) string {
	directory := path.Base(path.Dir(name))
	if directory == "." {
		return defaultCueIndex
	}
	return directory
}

func cueText(item *astisub.Item) string {
	lines := make([]string, 0, len(item.Lines))
	for _, line := range item.Lines {
		lines = append(lines, line.String())
	}
	return strings.Join(lines, " ")
}
