package main

import (
	"reflect"
	"strings"
	"testing"

	"persimmonvalve/experimenter"
)

// The help of an experiment names every scenario.
func TestHelpNamesScenarios(t *testing.T) {
	field, _ := reflect.TypeFor[experimentSettings]().FieldByName("Name")
	for _, name := range experimenter.Names() {
		if help := field.Tag.Get("help"); !strings.Contains(help, name) {
			t.Errorf("got help %q, want it to name %s", help, name)
		}
	}
}
