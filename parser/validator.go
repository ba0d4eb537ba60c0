package parser

// This file defines the messages for values that violate a rule of the schema. Each
// names the key and, where there are any, the value and the limit.

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// ruleFault is one violated rule. The YAML library looks up its position by the
// name of the Go field.
type ruleFault struct{ goField, text string }

func (f ruleFault) StructField() string { return f.goField }
func (f ruleFault) Error() string       { return f.text }

type ruleFaults []ruleFault

func (faults ruleFaults) Error() string {
	texts := make([]string, len(faults))
	for i, f := range faults {
		texts[i] = f.text
	}
	return strings.Join(texts, "; ")
}

// structValidator validates structs and returns ruleFaults.
type structValidator struct{ validate *validator.Validate }

func newStructValidator() structValidator {
	validate := validator.New(validator.WithRequiredStructEnabled())
	if err := validate.RegisterValidation("duration", validDuration); err != nil {
		panic(Error.Wrap(err)) // can't happen: only an empty tag is rejected
	}
	validate.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	return structValidator{validate}
}

// Struct implements yaml.StructValidator.
func (v structValidator) Struct(value any) error {
	err := v.validate.Struct(value)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	out := make(ruleFaults, len(faults))
	for i, f := range faults {
		out[i] = ruleFault{goField: f.StructField(), text: describeFault(f)}
	}
	return out
}

func describeFault(f validator.FieldError) string {
	text, isText := f.Value().(string)
	value := f.Value()
	if number, ok := value.(float64); ok {
		value = strconv.FormatFloat(number, 'f', -1, 64)
	}
	switch f.Tag() {
	case "required":
		return f.Field() + " is missing"
	case "gte":
		return fmt.Sprintf("%s is %v, the least is %s", f.Field(), value, f.Param())
	case "lte", "max":
		if isText {
			return fmt.Sprintf("%s has %d characters, the most is %s", f.Field(), len([]rune(text)), f.Param())
		}
		return fmt.Sprintf("%s is %v, the most is %s", f.Field(), value, f.Param())
	case "oneof":
		return fmt.Sprintf("%s is %q, allowed are %s", f.Field(), text, strings.ReplaceAll(f.Param(), " ", ", "))
	case "duration":
		return fmt.Sprintf("%s is %q, which is no duration such as 90s or 2h", f.Field(), text)
	}
	return fmt.Sprintf("%s is %v, which violates the rule %s", f.Field(), f.Value(), f.Tag())
}
