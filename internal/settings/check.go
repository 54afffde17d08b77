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

// originLocator locates the flag or the file position that sets a key.
type originLocator struct {
	path      string
	file      *ast.File
	overrides []Override
}

// source returns the flag, or the file and line, that sets a key.
func (l originLocator) source(key string) (source string, line int) {
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

// line returns the line of a key or of its nearest ancestor in the file, or 0
// if neither is present.
func (l originLocator) line(key string) int {
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			node, err := path.FilterFile(l.file)
			if err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		dot := strings.LastIndex(key, ".")
		if dot < 0 {
			return 0
		}
		key = key[:dot]
	}
	return 0
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("yaml")
	})
	// Fails only for an empty tag or a nil function.
	_ = v.RegisterValidation("hostname_port_ip", isIPPort)
	return v
}

// isIPPort reports whether a field is IP:port. Port 0 is valid and selects any
// free port.
func isIPPort(field validator.FieldLevel) bool {
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

// validate checks the values against the validate tags and returns the first
// violation as an *Error.
func validate(settings any, locator originLocator) error {
	err := newValidator().Struct(settings)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	first := failures[0]
	key := strings.TrimPrefix(first.Namespace(), "Settings.")
	source, line := locator.source(key)
	return &Error{Source: source, Line: line, Key: key, Reason: failureReason(first)}
}

// failureReason describes a failed validation.
func failureReason(failure validator.FieldError) string {
	value := fmt.Sprintf("%v", failure.Value())
	switch failure.Tag() {
	case "required":
		return "is required"
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", value, strings.ReplaceAll(failure.Param(), " ", ", "))
	case "gte":
		return fmt.Sprintf("%s is less than %s", value, failure.Param())
	case "lte":
		return fmt.Sprintf("%s is more than %s", value, failure.Param())
	case "http_url":
		return fmt.Sprintf("%q is not an http or https URL", value)
	case "hostname_port_ip":
		return fmt.Sprintf("%q is not IP:port", value)
	default:
		return fmt.Sprintf("%q does not satisfy %s", value, failure.Tag())
	}
}
