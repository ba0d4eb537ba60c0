package entry_test

import (
	"strings"
	"testing"

	"persimmonvalve/demonstrator"
	"persimmonvalve/internal/apigen"

	pv "persimmonvalve"
)

// Plan cordPath is idempotent, plan cordOrder isn't.
const inputPlans = `plans:
  - {name: cordPath, customer: workshop, service: cordPath, class: urgent, idempotent: true, maxBodyBytes: 10}
  - {name: cordOrder, customer: workshop, service: cordPath, class: urgent, idempotent: false}
  - {name: huge, customer: workshop, taskKind: huge, class: heavy, runTime: 1h, size: {cores: 1000}}
`

const inputAllowances = `allowances:
  - {plan: cordPath, requestsPerSecond: 1000, burst: 1000}
  - {plan: cordOrder, requestsPerSecond: 1000, burst: 1000}
  - {plan: huge, ceiling: {cores: 100000, memoryMB: 1000000, slots: 1000}}
`

// refusalCount returns the entry's refusals_total for a reason.
func refusalCount(t *testing.T, node *demonstrator.EntryNode, reason pv.Reason) float64 {
	t.Helper()
	families, err := node.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "pvalve_entry_refusals_total" {
			continue
		}
		for _, m := range f.Metric {
			if m.Label[0].GetValue() == string(reason) {
				return m.Counter.GetValue()
			}
		}
	}
	return 0
}

// Every invalid input must be refused with its reason, counted under that reason,
// and leave the published plans unchanged.
func TestInvalidInputIsRefused(t *testing.T) {
	site, ctx := newSiteWith(t, inputAllowances, inputPlans)
	node := site.Entries[0]
	request := func(service, plan, key, body string) error {
		params := apigen.DoRequestParams{Service: service, Plan: apigen.NewOptString(plan)}
		if key != "" {
			params.IdempotencyKey = apigen.NewOptString(key)
		}
		_, err := node.API.DoRequest(ctx, apigen.DoRequestReq{Data: strings.NewReader(body)}, params)
		return err
	}
	before, err := node.API.GetPlans(ctx)
	if err != nil {
		t.Fatal(err)
	}
	putPlans := func(ifMatch, text string) error {
		_, err := node.API.PutPlans(ctx, apigen.PutPlansReq{Data: strings.NewReader(text)}, apigen.PutPlansParams{IfMatch: ifMatch})
		return err
	}
	putAllowances := func(text string) error {
		_, err := node.API.PutAllowances(ctx, apigen.PutAllowancesReq{Data: strings.NewReader(text)}, apigen.PutAllowancesParams{IfMatch: `"0"`})
		return err
	}
	submit := func(plan string) error {
		_, err := node.API.SubmitTask(ctx, &apigen.Submission{Plan: plan})
		return err
	}
	if err := request("cordPath", "cordOrder", "k", "one"); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		err  error
		want pv.Reason
	}{
		{"unknown service", request("none", "", "", ""), pv.ReasonUnknownPlan},
		{"missing key", request("cordPath", "cordOrder", "", ""), pv.ReasonMissingKey},
		{"same key with another body", request("cordPath", "cordOrder", "k", "two"), pv.ReasonKeyReused},
		{"oversized body", request("cordPath", "cordPath", "", "eleven byte"), pv.ReasonBodyTooLarge},
		{"unknown key in a list", putPlans(before.ETag, "plans:\n  - {name: a, colour: red}\n"), pv.ReasonBadInput},
		{"plan without allowance", putPlans(before.ETag, inputPlans+"  - {name: b, customer: c, service: s, class: urgent}\n"), pv.ReasonBadInput},
		{"lost race", putPlans(`"0"`, inputPlans), "conflict"},
		{"allowances over the fleet", putAllowances("site: {fleet: {cores: 1}}\n" + strings.Replace(inputAllowances, "{plan: huge,", "{plan: huge, guaranteed: {cores: 2},", 1)), pv.ReasonBadInput},
		{"negative size", putAllowances("allowances:\n  - {plan: a, ceiling: {cores: -1}}\n"), pv.ReasonBadInput},
		{"task of no plan", submit("none"), pv.ReasonUnknownPlan},
		{"task that fits nowhere", submit("huge"), pv.ReasonNeverFits},
	}
	for _, tt := range tests {
		if got := demonstrator.ReasonOf(tt.err); got != tt.want {
			t.Errorf("%s: got %q (%v), want %q", tt.name, got, tt.err, tt.want)
		}
		if refusalCount(t, node, tt.want) == 0 {
			t.Errorf("%s: refusals counted for %s: got 0, want at least 1", tt.name, tt.want)
		}
	}
	after, err := node.API.GetPlans(ctx)
	if err != nil || after.ETag != before.ETag {
		t.Errorf("version of the plans: got %v %v, want %s", after, err, before.ETag)
	}
}
