package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Option describes one key of the settings, for the definition of flags.
type Option struct {
	// Key is the dotted key, such as "store.url".
	Key  string
	Help string
	// Default is the default value as text, or empty if there is none.
	Default string
}

// Override sets one key to a value given by a flag.
type Override struct {
	Key string
	// Value is given as text, with list items separated by commas.
	Value string
}

// FlagName returns the name of the flag that overrides a key, with dots and
// underscores replaced by dashes.
func FlagName(key string) string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(key)
}

// Options returns all keys of the settings in the order of their definition.
func Options() []Option {
	defaults := Default()
	var options []Option
	walkLeaves(reflect.ValueOf(&defaults).Elem(), "", func(key string, field reflect.StructField, value reflect.Value) {
		options = append(options, Option{Key: key, Help: field.Tag.Get("help"), Default: formatValue(value)})
	})
	return options
}

// walkLeaves calls visit for every leaf field of the settings with its dotted
// key.
func walkLeaves(parent reflect.Value, prefix string, visit func(string, reflect.StructField, reflect.Value)) {
	for i := range parent.NumField() {
		field := parent.Type().Field(i)
		key := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			walkLeaves(parent.Field(i), key+".", visit)
			continue
		}
		visit(key, field, parent.Field(i))
	}
}

func formatValue(value reflect.Value) string {
	if items, isList := value.Interface().([]string); isList {
		return strings.Join(items, ",")
	}
	return fmt.Sprint(value.Interface())
}

// apply sets the overridden key in settings.
func (o Override) apply(settings *Settings) error {
	var err error
	found := false
	walkLeaves(reflect.ValueOf(settings).Elem(), "", func(key string, _ reflect.StructField, value reflect.Value) {
		if key == o.Key {
			found = true
			err = setValue(value, o.Value)
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

// setValue parses text and sets a leaf field to it.
func setValue(value reflect.Value, text string) error {
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
		return fmt.Errorf("values of type %s cannot be set by a flag", value.Type())
	}
	return nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
