package parser

// This file defines the YAML schema of the lists: keys in camel case, validation
// rules, and defaults. Unknown keys are faults. The YAML library prints the names
// of these types and fields in its messages about values of a wrong type, so
// operators read them.

import (
	"math"
	"time"

	"github.com/go-playground/validator/v10"

	pv "persimmonvalve"
)

type sizeText struct {
	Cores        float64 `yaml:"cores" validate:"gte=0,lte=1000000"`
	MemoryMB     int64   `yaml:"memoryMB" validate:"gte=0"`
	Accelerators int64   `yaml:"accelerators" validate:"gte=0"`
	Slots        int64   `yaml:"slots" validate:"gte=0"`
}

func (s sizeText) resources() pv.Resources {
	return pv.Resources{
		MilliCores:   int64(math.Round(s.Cores * 1000)),
		MemoryMB:     s.MemoryMB,
		Accelerators: s.Accelerators,
		Slots:        s.Slots,
	}
}

type planText struct {
	Name         string   `yaml:"name" validate:"required,max=100"`
	Customer     string   `yaml:"customer" validate:"required,max=100"`
	Service      string   `yaml:"service" validate:"max=100"`
	TaskKind     string   `yaml:"taskKind" validate:"max=100"`
	Class        string   `yaml:"class" validate:"required,oneof=urgent heavy standing"`
	Idempotent   bool     `yaml:"idempotent"`
	Size         sizeText `yaml:"size"`
	RunTime      string   `yaml:"runTime" validate:"duration"`
	Deadline     string   `yaml:"deadline" validate:"duration"`
	RetryLimit   int      `yaml:"retryLimit" validate:"gte=0,lte=100"`
	MaxBodyBytes int64    `yaml:"maxBodyBytes" validate:"gte=0"`
}

type plansText struct {
	Plans []planText `yaml:"plans" validate:"required,dive"`
}

type weightsText struct {
	TailLatency float64 `yaml:"tailLatency" validate:"gte=0"`
	Throughput  float64 `yaml:"throughput" validate:"gte=0"`
	Evictions   float64 `yaml:"evictions" validate:"gte=0"`
}

type siteText struct {
	Weights weightsText `yaml:"weights"`
	Fleet   sizeText    `yaml:"fleet"`
}

type allowanceText struct {
	Plan           string   `yaml:"plan" validate:"required"`
	Guaranteed     sizeText `yaml:"guaranteed"`
	Ceiling        sizeText `yaml:"ceiling"`
	RequestsPerSec float64  `yaml:"requestsPerSecond" validate:"gte=0"`
	Burst          int64    `yaml:"burst" validate:"gte=0"`
	LinkBytesPerS  int64    `yaml:"linkBytesPerSecond" validate:"gte=0"`
}

type allowancesText struct {
	Site       siteText        `yaml:"site"`
	Allowances []allowanceText `yaml:"allowances" validate:"required,dive"`
}

// Defaults of a plan's fields that the list omits or sets to zero. The default of a
// task plan's slots is 1.
const (
	defaultDeadline     = 10 * time.Second
	defaultMaxBodyBytes = 1 << 20
)

func (p planText) plan() pv.Plan {
	plan := pv.Plan{
		Name:         p.Name,
		Customer:     p.Customer,
		Service:      p.Service,
		TaskKind:     p.TaskKind,
		Class:        pv.Class(p.Class),
		Idempotent:   p.Idempotent,
		Size:         p.Size.resources(),
		RunTime:      parseDuration(p.RunTime),
		Deadline:     parseDuration(p.Deadline),
		RetryLimit:   p.RetryLimit,
		MaxBodyBytes: p.MaxBodyBytes,
	}
	if plan.Deadline == 0 {
		plan.Deadline = defaultDeadline
	}
	if plan.MaxBodyBytes == 0 {
		plan.MaxBodyBytes = defaultMaxBodyBytes
	}
	if plan.TaskKind != "" && plan.Size.Slots == 0 {
		plan.Size.Slots = 1
	}
	return plan
}

func (a allowanceText) allowance() pv.Allowance {
	return pv.Allowance{
		Plan:               a.Plan,
		Guaranteed:         a.Guaranteed.resources(),
		Ceiling:            a.Ceiling.resources(),
		RequestsPerSecond:  a.RequestsPerSec,
		Burst:              a.Burst,
		LinkBytesPerSecond: a.LinkBytesPerS,
	}
}

// parseDuration parses a duration that validDuration has accepted; it returns 0 for
// an empty text.
func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// validDuration reports whether the field is empty or a duration of at least 0.
func validDuration(f validator.FieldLevel) bool {
	text := f.Field().String()
	if text == "" {
		return true
	}
	d, err := time.ParseDuration(text)
	return err == nil && d >= 0
}
