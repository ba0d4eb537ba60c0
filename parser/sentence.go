package parser

// This file defines what a list's author reads when a value breaks a rule: one
// plain sentence with the value and the limit.

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// sentence is one broken rule. The YAML library finds its position by the name
// of the Go field.
type sentence struct{ goField, text string }

func (s sentence) StructField() string { return s.goField }
func (s sentence) Error() string       { return s.text }

type sentences []sentence

func (s sentences) Error() string {
	texts := make([]string, len(s))
	for i, one := range s {
		texts[i] = one.text
	}
	return strings.Join(texts, "; ")
}

// checker checks values and says in sentences what is wrong with them.
type checker struct{ check *validator.Validate }

func newChecker() checker {
	check := validator.New(validator.WithRequiredStructEnabled())
	if err := check.RegisterValidation("duration", validDuration); err != nil {
		panic(Error.Wrap(err)) // only an empty tag is refused
	}
	check.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	return checker{check}
}

// Struct implements the YAML library's validator.
func (c checker) Struct(v any) error {
	err := c.check.Struct(v)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	out := make(sentences, len(faults))
	for i, f := range faults {
		out[i] = sentence{goField: f.StructField(), text: plain(f)}
	}
	return out
}

func plain(f validator.FieldError) string {
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
	return fmt.Sprintf("%s is %v, which breaks the rule %s", f.Field(), f.Value(), f.Tag())
}
