package policy

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/doorpond/doorpond/internal/failure"
)

// The bounds of a table.
const (
	// MaxPolicies is the greatest number of rows.
	MaxPolicies = 1000
	// MaxAssignments is the greatest number of assignments.
	MaxAssignments = 5000
	// MaxTableBytes is the greatest size of the table's JSON.
	MaxTableBytes = 1 << 20
	// MaxIndexWeights is the greatest number of index weights of one row.
	MaxIndexWeights = 1000
)

// namePattern allows letters, digits, dot, underscore and hyphen; the default
// group's name is allowed besides.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var rowValidator = newValidator()

// newValidator builds the validator; it fails only for a mistake in this file.
func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(jsonName)
	if err := validate.RegisterValidation("policyname", isValidName); err != nil {
		panic(err)
	}
	return validate
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func isValidName(field validator.FieldLevel) bool {
	name := field.Field().String()
	return name == DefaultGroup || namePattern.MatchString(name)
}

// Validate checks a whole table. The error is a *failure.Error of kind
// InvalidRequest that names the row, the field, its value and the reason of
// the first fault found.
func Validate(table *Table) error {
	if err := validateSize(table); err != nil {
		return err
	}
	names := make(map[string]bool, len(table.Policies))
	for i := range table.Policies {
		row := &table.Policies[i]
		if names[row.Name] {
			return invalid("policy", row.Name, "name", row.Name, "another policy has this name")
		}
		names[row.Name] = true
		if err := ValidateRow(row); err != nil {
			return err
		}
	}
	groups := make(map[string]bool, len(table.Assignments))
	for i := range table.Assignments {
		assigned := &table.Assignments[i]
		if groups[assigned.Group] {
			return invalid("assignment", assigned.Group, "group", assigned.Group, "another assignment has this group")
		}
		groups[assigned.Group] = true
		if err := validateAssignment(assigned, names); err != nil {
			return err
		}
	}
	return validateEncodedSize(table)
}

func validateSize(table *Table) error {
	if len(table.Policies) > MaxPolicies {
		return invalid("table", "", "policies", len(table.Policies), fmt.Sprintf("at most %d policies are allowed", MaxPolicies))
	}
	if len(table.Assignments) > MaxAssignments {
		return invalid("table", "", "assignments", len(table.Assignments), fmt.Sprintf("at most %d assignments are allowed", MaxAssignments))
	}
	return nil
}

func validateEncodedSize(table *Table) error {
	body, err := json.Marshal(table)
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "write the table as JSON")
	}
	if len(body) > MaxTableBytes {
		return invalid("table", "", "size", len(body), fmt.Sprintf("at most %d bytes of JSON are allowed", MaxTableBytes))
	}
	return nil
}

// ValidateRow checks one policy by itself, as Validate does.
func ValidateRow(row *Row) error {
	if err := rowValidator.Struct(row); err != nil {
		return validationError("policy", row.Name, err)
	}
	if len(row.Shards.IndexWeights) > MaxIndexWeights {
		return invalid("policy", row.Name, "shards.index_weights", len(row.Shards.IndexWeights),
			fmt.Sprintf("at most %d index weights are allowed", MaxIndexWeights))
	}
	return validateConsistency(row)
}

// validateConsistency checks fields against each other.
func validateConsistency(row *Row) error {
	weights := row.Replicas
	if weights.ZoneWeight+weights.RegionWeight+weights.FarWeight <= 0 {
		return invalid("policy", row.Name, "replicas", 0,
			"at least one of zone_weight, region_weight and far_weight must be over 0")
	}
	if row.Wait.HedgeQuantile > 0 && row.Retry.Attempts < 2 {
		return invalid("policy", row.Name, "retry.attempts", row.Retry.Attempts,
			"hedging (wait.hedge_quantile over 0) needs at least 2 attempts")
	}
	if row.Wait.HedgeFloor > row.Wait.Timeout {
		return invalid("policy", row.Name, "wait.hedge_floor", row.Wait.HedgeFloor,
			fmt.Sprintf("must not be over wait.timeout (%s)", row.Wait.Timeout))
	}
	if row.Completeness.Grace > row.Wait.Timeout {
		return invalid("policy", row.Name, "completeness.grace", row.Completeness.Grace,
			fmt.Sprintf("must not be over wait.timeout (%s)", row.Wait.Timeout))
	}
	if row.Completeness.Min > row.Completeness.Target {
		return invalid("policy", row.Name, "completeness.least", row.Completeness.Min,
			fmt.Sprintf("must not be over completeness.target (%g)", row.Completeness.Target))
	}
	return nil
}

func validateAssignment(assigned *Assignment, names map[string]bool) error {
	if err := rowValidator.Struct(assigned); err != nil {
		return validationError("assignment", assigned.Group, err)
	}
	seen := make(map[string]bool, len(assigned.Shares))
	for _, share := range assigned.Shares {
		if !names[share.Policy] {
			return invalid("assignment", assigned.Group, "shares.policy", share.Policy, "there is no such policy")
		}
		if seen[share.Policy] {
			return invalid("assignment", assigned.Group, "shares.policy", share.Policy, "the policy is named twice")
		}
		seen[share.Policy] = true
	}
	return nil
}

// validationError turns the first fault found by the validator into one error.
func validationError(item, name string, err error) error {
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) || len(faults) == 0 {
		return failure.Wrap(err, failure.InvalidRequest, "check "+item+" "+name)
	}
	fault := faults[0]
	_, field, _ := strings.Cut(fault.Namespace(), ".")
	return invalid(item, name, field, fault.Value(), reason(fault))
}

func reason(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "is missing"
	case "policyname":
		return "use letters, digits, '.', '_' and '-', beginning with a letter or digit"
	case "oneof":
		return "must be one of " + strings.ReplaceAll(fault.Param(), " ", ", ")
	case "gt":
		return "must be over " + fault.Param()
	case "gte", "min":
		return "must be at least " + fault.Param()
	case "lt":
		return "must be under " + fault.Param()
	case "lte", "max":
		return "must be at most " + fault.Param()
	default:
		return "breaks the rule " + fault.Tag()
	}
}

func invalid(item, name, field string, value any, why string) error {
	detail := fmt.Sprintf("%s %q: %s = %v: %s", item, name, field, value, why)
	return failure.New(failure.InvalidRequest, detail)
}
