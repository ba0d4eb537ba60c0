package entry_test

import (
	"strings"
	"testing"

	"persimmonvalve/demonstrator"
	"persimmonvalve/internal/apigen"

	pv "persimmonvalve"
)

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

// counted returns how often the entry counted a refusal reason.
func counted(t *testing.T, g *demonstrator.Gate, reason pv.Reason) float64 {
	t.Helper()
	families, err := g.Registry.Gather()
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

// Every bad input gets its reason and a counter, and changes nothing.
func TestBadInput(t *testing.T) {
	site, ctx := newSiteWith(t, inputAllowances, inputPlans)
	g := site.Gates[0]
	request := func(service, plan, key, body string) error {
		params := apigen.DoRequestParams{Service: service, Plan: apigen.NewOptString(plan)}
		if key != "" {
			params.IdempotencyKey = apigen.NewOptString(key)
		}
		_, err := g.API.DoRequest(ctx, apigen.DoRequestReq{Data: strings.NewReader(body)}, params)
		return err
	}
	lists, err := g.API.GetPlans(ctx)
	if err != nil {
		t.Fatal(err)
	}
	plans := func(match, text string) error {
		_, err := g.API.PutPlans(ctx, apigen.PutPlansReq{Data: strings.NewReader(text)}, apigen.PutPlansParams{IfMatch: match})
		return err
	}
	allowances := func(text string) error {
		_, err := g.API.PutAllowances(ctx, apigen.PutAllowancesReq{Data: strings.NewReader(text)}, apigen.PutAllowancesParams{IfMatch: `"0"`})
		return err
	}
	submit := func(plan string) error {
		_, err := g.API.SubmitTask(ctx, &apigen.Submission{Plan: plan})
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
		{"unknown service", request("none", "", "", ""), pv.ReasonNoPlan},
		{"missing key", request("cordPath", "cordOrder", "", ""), pv.ReasonNoKey},
		{"same key with another body", request("cordPath", "cordOrder", "k", "two"), pv.ReasonKeyReused},
		{"oversized body", request("cordPath", "cordPath", "", "eleven byte"), pv.ReasonTooLarge},
		{"unknown key in a list", plans(lists.ETag, "plans:\n  - {name: a, colour: red}\n"), pv.ReasonBadInput},
		{"plan without allowance", plans(lists.ETag, inputPlans+"  - {name: b, customer: c, service: s, class: urgent}\n"), pv.ReasonBadInput},
		{"lost race", plans(`"0"`, inputPlans), "conflict"},
		{"allowances over the fleet", allowances("site: {fleet: {cores: 1}}\n" + strings.Replace(inputAllowances, "{plan: huge,", "{plan: huge, guaranteed: {cores: 2},", 1)), pv.ReasonBadInput},
		{"negative size", allowances("allowances:\n  - {plan: a, ceiling: {cores: -1}}\n"), pv.ReasonBadInput},
		{"task of no plan", submit("none"), pv.ReasonNoPlan},
		{"task that fits nowhere", submit("huge"), pv.ReasonNeverFits},
	}
	for _, s := range tests {
		if got := demonstrator.ReasonOf(s.err); got != s.want {
			t.Errorf("%s: got %q (%v), want %q", s.name, got, s.err, s.want)
		}
		if counted(t, g, s.want) == 0 {
			t.Errorf("%s: got no count of %s, want some", s.name, s.want)
		}
	}
	after, err := g.API.GetPlans(ctx)
	if err != nil || after.ETag != lists.ETag {
		t.Errorf("version of the plans: got %v %v, want %s", after, err, lists.ETag)
	}
}
