package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Error is the one clear reason why settings were refused.
type Error struct {
	// Source is the file's name, or the flag.
	Source string
	// Line is the line in the file, from 1; 0 when a flag gave the value or
	// the key is absent.
	Line int
	// Key is the dotted key, such as "store.url"; empty when the file is not
	// YAML at all.
	Key    string
	Reason string
}

// Error gives source, line, key and reason in one line.
func (e *Error) Error() string {
	var text strings.Builder
	text.WriteString(e.Source)
	if e.Line > 0 {
		fmt.Fprintf(&text, ":%d", e.Line)
	}
	if e.Key != "" {
		text.WriteString(": " + e.Key)
	}
	text.WriteString(": " + e.Reason)
	return text.String()
}

// Load reads a file over the defaults, then the overrides (dotted key to
// text) over the file, and checks the result. An empty path reads no file.
// Every error about the content is an *Error.
func Load(path string, overrides []Override) (Settings, error) {
	loaded := Default()
	file := &ast.File{}
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return loaded, &Error{Source: path, Reason: "cannot be read: " + errors.Unwrap(err).Error()}
		}
		file, err = decode(path, content, &loaded)
		if err != nil {
			return loaded, err
		}
	}
	for _, override := range overrides {
		if err := override.apply(&loaded); err != nil {
			return loaded, err
		}
	}
	return loaded, check(&loaded, location{path: path, file: file, overrides: overrides})
}

// LoadInto reads a file over the defaults that a structure of another program
// holds, and checks the result by the same tags. Every error about the content
// is an *Error.
func LoadInto(path string, into any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &Error{Source: path, Reason: "cannot be read: " + errors.Unwrap(err).Error()}
	}
	file, err := decode(path, content, into)
	if err != nil {
		return err
	}
	return check(into, location{path: path, file: file})
}

// decode reads YAML strictly and returns its syntax tree, for positions.
func decode(path string, content []byte, into any) (*ast.File, error) {
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, positioned(path, file, err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	err = decoder.Decode(into)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, positioned(path, file, err)
	}
	return file, nil
}

// positioned turns an error of the YAML library into an *Error.
func positioned(path string, file *ast.File, err error) error {
	refused := &Error{Source: path, Reason: err.Error()}
	var located yaml.Error
	if !errors.As(err, &located) {
		refused.Line, refused.Key = placeOfValue(file, err)
		return refused
	}
	refused.Reason = located.GetMessage()
	if token := located.GetToken(); token != nil {
		refused.Line = token.Position.Line
		refused.Key = keyAt(file, token.Position.Offset, token.Value)
	}
	return refused
}

// placeOfValue finds where a value stands that the library refused without
// telling where: its error ends with the value in quotes.
func placeOfValue(file *ast.File, refused error) (line int, key string) {
	parts := strings.Split(refused.Error(), `"`)
	if file == nil || len(parts) < 3 {
		return 0, ""
	}
	finder := &valueFinder{value: parts[len(parts)-2]}
	for _, document := range file.Docs {
		ast.Walk(finder, document)
	}
	return finder.line, finder.key
}

type valueFinder struct {
	value string
	line  int
	key   string
}

// Visit notes the first entry whose value is the one looked for.
func (f *valueFinder) Visit(node ast.Node) ast.Visitor {
	entry, isEntry := node.(*ast.MappingValueNode)
	if isEntry && f.line == 0 && entry.Value != nil && entry.Value.GetToken().Value == f.value {
		f.line = entry.Value.GetToken().Position.Line
		f.key = strings.TrimPrefix(entry.Key.GetPath(), "$.")
	}
	return f
}

// keyAt returns the dotted key of the entry whose key or value is the token
// at an offset, the token's own text where there is none, and nothing when
// the file is not YAML.
func keyAt(file *ast.File, offset int, text string) string {
	if file == nil {
		return ""
	}
	finder := &keyFinder{offset: offset}
	for _, document := range file.Docs {
		ast.Walk(finder, document)
	}
	if finder.key == "" {
		return text
	}
	return finder.key
}

type keyFinder struct {
	offset int
	key    string
}

// Visit keeps the path of the deepest entry that contains the offset.
func (f *keyFinder) Visit(node ast.Node) ast.Visitor {
	entry, isEntry := node.(*ast.MappingValueNode)
	if !isEntry {
		return f
	}
	onKey := entry.Key.GetToken().Position.Offset == f.offset
	onValue := entry.Value != nil && entry.Value.GetToken().Position.Offset == f.offset
	if onKey || onValue {
		f.key = strings.TrimPrefix(entry.Key.GetPath(), "$.")
	}
	return f
}
