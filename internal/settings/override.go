package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Option describes one key of the settings, for making flags.
type Option struct {
	// Key is dotted, such as "store.url".
	Key string
	// Help says what the key is for.
	Help string
	// Default is the default value as text; empty when there is none.
	Default string
}

// Override gives one key a value, as a flag does.
type Override struct {
	Key string
	// Value is the value; a list's items are separated by commas.
	Value string
}

// FlagName returns the flag that overrides a key: dots and underscores become
// dashes.
func FlagName(key string) string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(key)
}

// Options lists every key of the settings in the order of their definition.
func Options() []Option {
	defaults := Default()
	var options []Option
	walk(reflect.ValueOf(&defaults).Elem(), "", func(key string, field reflect.StructField, value reflect.Value) {
		options = append(options, Option{Key: key, Help: field.Tag.Get("help"), Default: render(value)})
	})
	return options
}

// walk visits every leaf of the settings with its dotted key.
func walk(parent reflect.Value, prefix string, visit func(string, reflect.StructField, reflect.Value)) {
	for i := range parent.NumField() {
		field := parent.Type().Field(i)
		key := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			walk(parent.Field(i), key+".", visit)
			continue
		}
		visit(key, field, parent.Field(i))
	}
}

func render(value reflect.Value) string {
	if items, isList := value.Interface().([]string); isList {
		return strings.Join(items, ",")
	}
	return fmt.Sprint(value.Interface())
}

// apply sets the key in the settings.
func (o Override) apply(settings *Settings) error {
	var err error
	found := false
	walk(reflect.ValueOf(settings).Elem(), "", func(key string, _ reflect.StructField, value reflect.Value) {
		if key == o.Key {
			found = true
			err = assign(value, o.Value)
		}
	})
	if !found {
		return &Error{Source: "--" + FlagName(o.Key), Key: o.Key, Reason: "unknown key"}
	}
	if err != nil {
		return &Error{Source: "--" + FlagName(o.Key), Key: o.Key, Reason: err.Error()}
	}
	return nil
}

// assign parses text into a leaf of the settings.
func assign(value reflect.Value, text string) error {
	switch value.Interface().(type) {
	case time.Duration:
		parsed, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 500ms", text)
		}
		value.SetInt(int64(parsed))
	case int, int64:
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		value.SetInt(parsed)
	case string:
		value.SetString(text)
	case []string:
		value.Set(reflect.ValueOf(splitList(text)))
	default:
		return fmt.Errorf("a value of type %s cannot be given by flag", value.Type())
	}
	return nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
