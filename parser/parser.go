package parser

// This file defines how a list is parsed and validated. Schema violations are
// reported for the first faulty item only; if there are none, the remaining rules
// report all their faults at once. A list with any fault is refused as a whole.

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/zeebo/errs"

	pv "persimmonvalve"
)

// Error is the error class of this package.
var Error = errs.Class("list")

// Fault is one error in a list, with its position.
type Fault struct {
	Line   int // 1-based; 0 if the fault concerns the whole list
	Column int // 1-based
	Text   string
}

// String returns "line:column: text", or the text alone if there is no position.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Text
	}
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
}

// MaxListBytes is the maximum size of a list's text.
const MaxListBytes = 4 << 20

// ParsePlans parses and validates the list of plans.
func ParsePlans(text []byte) (pv.Plans, []Fault) {
	var raw plansText
	doc, faults := decode(text, &raw)
	if faults != nil {
		return pv.Plans{}, faults
	}
	var plans pv.Plans
	for _, p := range raw.Plans {
		plans.Plans = append(plans.Plans, p.plan())
	}
	return plans, checkPlans(doc, plans)
}

// ParseAllowances parses and validates the list of allowances.
func ParseAllowances(text []byte) (pv.Allowances, []Fault) {
	var raw allowancesText
	doc, faults := decode(text, &raw)
	if faults != nil {
		return pv.Allowances{}, faults
	}
	allowances := pv.Allowances{
		Weights: pv.Weights{
			TailLatency: raw.Site.Weights.TailLatency,
			Throughput:  raw.Site.Weights.Throughput,
			Evictions:   raw.Site.Weights.Evictions,
		},
		FleetCapacity: raw.Site.Fleet.resources(),
	}
	for _, a := range raw.Allowances {
		allowances.Allowances = append(allowances.Allowances, a.allowance())
	}
	return allowances, checkAllowances(doc, allowances)
}

// decode unmarshals text into raw; unknown keys are faults. The YAML library
// panics on some texts. Such a text in the log would crash every process that
// reads it, so decode recovers and reports the panic as a fault.
func decode(text []byte, raw any) (doc document, faults []Fault) {
	defer func() {
		if p := recover(); p != nil {
			doc, faults = document{}, []Fault{{Line: 1, Column: 1, Text: fmt.Sprintf("the list can't be parsed: the YAML library panicked: %v", p)}}
		}
	}()
	if len(text) > MaxListBytes {
		return document{}, []Fault{{Text: fmt.Sprintf("the list has %d bytes, at most %d are allowed", len(text), MaxListBytes)}}
	}
	if nestedTooDeeply(text) {
		return document{}, []Fault{{Line: 1, Column: 1, Text: fmt.Sprintf("the list is nested too deeply, at most %d levels are allowed", maxNesting)}}
	}
	file, err := yamlparser.ParseBytes(text, 0)
	if err != nil {
		return document{}, []Fault{faultFromError(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return document{}, []Fault{{Line: 1, Column: 1, Text: "a list is one YAML document and isn't empty"}}
	}
	if err := yaml.UnmarshalWithOptions(text, raw, yaml.Strict(), yaml.Validator(newStructValidator())); err != nil {
		return document{}, []Fault{faultFromError(err)}
	}
	return document{root: file.Docs[0].Body}, nil
}

// maxNesting is the most levels of nesting in a list. The time that the YAML library
// takes grows with the square of the levels.
const maxNesting = 100

// nestedTooDeeply reports whether the text has more than maxNesting open brackets, or as
// many indicators of nested blocks in a row. Brackets in quoted text and comments count
// as well: no list needs that many.
func nestedTooDeeply(text []byte) bool {
	brackets, blocks := 0, 0
	for _, c := range text {
		switch c {
		case '[', '{':
			brackets++
		case ']', '}':
			brackets = max(0, brackets-1)
		}
		switch c {
		case '-', '?', ':':
			blocks++
		case ' ', '\t':
		default:
			blocks = 0
		}
		if brackets > maxNesting || blocks > maxNesting {
			return true
		}
	}
	return false
}

// faultFromError converts an error of the YAML library to a fault with its position.
func faultFromError(err error) Fault {
	var y yaml.Error
	if !errors.As(err, &y) {
		return Fault{Text: err.Error()}
	}
	f := Fault{Text: strings.TrimSpace(y.GetMessage())}
	if token := y.GetToken(); token != nil && token.Position != nil {
		f.Line = token.Position.Line
		f.Column = token.Position.Column
	}
	return f
}

// document maps paths to positions, for the rules that are checked after the YAML
// library has unmarshalled the list.
type document struct {
	root ast.Node
}

func (d document) fault(path, format string, args ...any) Fault {
	f := Fault{Text: fmt.Sprintf(format, args...)}
	p, err := yaml.PathString(path)
	if err != nil {
		return f
	}
	node, err := p.FilterNode(d.root)
	if err != nil || node == nil {
		return f
	}
	if position := node.GetToken().Position; position != nil {
		f.Line = position.Line
		f.Column = position.Column
	}
	return f
}

func checkPlans(doc document, plans pv.Plans) []Fault {
	var faults []Fault
	seen := map[string]bool{}
	for i, p := range plans.Plans {
		path := fmt.Sprintf("$.plans[%d]", i)
		if seen[p.Name] {
			faults = append(faults, doc.fault(path+".name", "plan %q stands twice", p.Name))
		}
		seen[p.Name] = true
		if (p.Service == "") == (p.TaskKind == "") {
			faults = append(faults, doc.fault(path+".name", "plan %q needs either service or taskKind", p.Name))
		}
		if p.TaskKind != "" && p.RunTime <= 0 && p.Class != pv.ClassStanding {
			faults = append(faults, doc.fault(path+".name", "plan %q needs a runTime", p.Name))
		}
	}
	return faults
}

func checkAllowances(doc document, allowances pv.Allowances) []Fault {
	var faults []Fault
	seen := map[string]bool{}
	var sum pv.Resources
	for i, a := range allowances.Allowances {
		path := fmt.Sprintf("$.allowances[%d]", i)
		if seen[a.Plan] {
			faults = append(faults, doc.fault(path+".plan", "plan %q has more than one allowance", a.Plan))
		}
		seen[a.Plan] = true
		if !a.Guaranteed.Fits(a.Ceiling) {
			faults = append(faults, doc.fault(path+".plan", "the guarantee of %q is over its ceiling", a.Plan))
		}
		if a.RequestsPerSecond > 0 && a.Burst < 1 {
			faults = append(faults, doc.fault(path+".plan", "%q has a request rate, so its burst must be at least 1", a.Plan))
		}
		sum = sum.Add(a.Guaranteed)
	}
	if allowances.FleetCapacity != (pv.Resources{}) && !sum.Fits(allowances.FleetCapacity) {
		faults = append(faults, doc.fault("$.site.fleet", "the guarantees sum to %s, the fleet has %s", sum, allowances.FleetCapacity))
	}
	return faults
}

// CheckPlansHaveAllowances returns a fault for each plan without an allowance.
func CheckPlansHaveAllowances(plans pv.Plans, allowances pv.Allowances) []Fault {
	known := map[string]bool{}
	for _, a := range allowances.Allowances {
		known[a.Plan] = true
	}
	var faults []Fault
	for _, p := range plans.Plans {
		if !known[p.Name] {
			faults = append(faults, Fault{Text: fmt.Sprintf("plan %q has no allowance", p.Name)})
		}
	}
	return faults
}

// Join returns the faults as one error with one line each, or nil if there are
// none.
func Join(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return Error.New("%s", strings.Join(lines, "\n"))
}
