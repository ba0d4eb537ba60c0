package main

import (
	"reflect"
	"strings"
	"testing"

	"persimmonvalve/experimenter"
)

// The help text of the experiment subcommand lists every scenario.
func TestHelpNamesScenarios(t *testing.T) {
	field, _ := reflect.TypeFor[experimentSettings]().FieldByName("Name")
	for _, name := range experimenter.ScenarioNames() {
		if help := field.Tag.Get("help"); !strings.Contains(help, name) {
			t.Errorf("help of experiment: got %q, want scenario %s in it", help, name)
		}
	}
}
