package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// location finds where a key's value came from.
type location struct {
	path      string
	file      *ast.File
	overrides []Override
}

// source returns the flag or the file and line that gave a key its value.
func (l location) source(key string) (source string, line int) {
	for _, override := range l.overrides {
		if override.Key == key {
			return "--" + FlagName(key), 0
		}
	}
	if l.path == "" {
		return "settings", 0
	}
	return l.path, l.line(key)
}

// line returns the line of a key, or of its nearest parent, or 0.
func (l location) line(key string) int {
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			node, err := path.FilterFile(l.file)
			if err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndex(key, ".")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

func newValidator() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("yaml")
	})
	// The name is a constant and the function is not nil, so this cannot fail.
	_ = checker.RegisterValidation("hostname_port_ip", isAddress)
	return checker
}

// isAddress accepts IP:port, where the port may be 0 for any free one.
func isAddress(field validator.FieldLevel) bool {
	host, _, err := net.SplitHostPort(field.Field().String())
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	_, err = netip.ParseAddrPort(field.Field().String())
	return err == nil
}

// check refuses impossible values; it reports the first.
func check(settings any, from location) error {
	err := newValidator().Struct(settings)
	var refused validator.ValidationErrors
	if !errors.As(err, &refused) {
		return err
	}
	first := refused[0]
	key := strings.TrimPrefix(first.Namespace(), "Settings.")
	source, line := from.source(key)
	return &Error{Source: source, Line: line, Key: key, Reason: reason(first)}
}

// reason words a failed validation.
func reason(failed validator.FieldError) string {
	value := fmt.Sprintf("%v", failed.Value())
	switch failed.Tag() {
	case "required":
		return "is required"
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", value, strings.ReplaceAll(failed.Param(), " ", ", "))
	case "gte":
		return fmt.Sprintf("%s is less than %s", value, failed.Param())
	case "lte":
		return fmt.Sprintf("%s is more than %s", value, failed.Param())
	case "http_url":
		return fmt.Sprintf("%q is not an http or https URL", value)
	case "hostname_port_ip":
		return fmt.Sprintf("%q is not IP:port", value)
	default:
		return fmt.Sprintf("%q does not satisfy %s", value, failed.Tag())
	}
}
