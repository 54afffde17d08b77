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

// Error describes the first invalid setting that was found.
type Error struct {
	// Source is the path of the file or the name of the flag.
	Source string
	// Line is the line in the file, starting at 1. It is 0 if the value was set
	// by a flag or the key is absent.
	Line int
	// Key is the dotted key, such as "store.url". It is empty if the file is
	// not valid YAML.
	Key    string
	Reason string
}

// Error formats the error as "source:line: key: reason".
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

// Load returns the defaults, overridden by the YAML file at path and then by
// overrides, and validates the result. If path is empty, no file is read. All
// errors about the content are of type *Error.
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
	return loaded, validate(&loaded, originLocator{path: path, file: file, overrides: overrides})
}

// LoadInto decodes the YAML file at path into the struct that target points to,
// which holds the defaults, and validates the result by its validate tags. All
// errors about the content are of type *Error.
func LoadInto(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &Error{Source: path, Reason: "cannot be read: " + errors.Unwrap(err).Error()}
	}
	file, err := decode(path, content, target)
	if err != nil {
		return err
	}
	return validate(target, originLocator{path: path, file: file})
}

// decode decodes YAML, rejecting unknown keys, and returns its syntax tree, which
// is used to locate errors.
func decode(path string, content []byte, target any) (*ast.File, error) {
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, newYAMLError(path, file, err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	err = decoder.Decode(target)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, newYAMLError(path, file, err)
	}
	return file, nil
}

// newYAMLError converts an error of the YAML library into an *Error.
func newYAMLError(path string, file *ast.File, err error) error {
	settingsErr := &Error{Source: path, Reason: err.Error()}
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		settingsErr.Line, settingsErr.Key = locateValue(file, err)
		return settingsErr
	}
	settingsErr.Reason = yamlErr.GetMessage()
	if token := yamlErr.GetToken(); token != nil {
		settingsErr.Line = token.Position.Line
		settingsErr.Key = keyAt(file, token.Position.Offset, token.Value)
	}
	return settingsErr
}

// locateValue locates the value rejected by an error without position. Such
// an error ends with the quoted value.
func locateValue(file *ast.File, err error) (line int, key string) {
	parts := strings.Split(err.Error(), `"`)
	if file == nil || len(parts) < 3 {
		return 0, ""
	}
	finder := &valueFinder{value: parts[len(parts)-2]}
	for _, document := range file.Docs {
		ast.Walk(finder, document)
	}
	return finder.line, finder.key
}

// valueFinder finds the first mapping entry with a given value.
type valueFinder struct {
	value string
	line  int
	key   string
}

// Visit implements ast.Visitor.
func (f *valueFinder) Visit(node ast.Node) ast.Visitor {
	entry, isEntry := node.(*ast.MappingValueNode)
	if isEntry && f.line == 0 && entry.Value != nil && entry.Value.GetToken().Value == f.value {
		f.line = entry.Value.GetToken().Position.Line
		f.key = strings.TrimPrefix(entry.Key.GetPath(), "$.")
	}
	return f
}

// keyAt returns the dotted key of the mapping entry whose key or value token is
// at offset. Without such an entry it returns text, and without a syntax tree
// the empty string.
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

// keyFinder finds the deepest mapping entry whose key or value token is at
// offset.
type keyFinder struct {
	offset int
	key    string
}

// Visit implements ast.Visitor.
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
