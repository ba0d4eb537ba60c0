package runner

// This file defines the settings that programs share, and how they are read and
// validated. All faults are reported at once.

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-playground/validator/v10"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	pv "persimmonvalve"
	"persimmonvalve/partitioner"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Version is the version of all programs.
const Version = "0.1.0"

// Common are the settings of every long-running program.
type Common struct {
	LogLevel     string         `arg:"--log-level,env:PVALVE_LOG_LEVEL" default:"info" help:"log level: debug, info, warn or error" validate:"oneof=debug info warn error"`
	LogFormat    string         `arg:"--log-format,env:PVALVE_LOG_FORMAT" default:"json" help:"log format: json or console" validate:"oneof=json console"`
	AdminAddress netip.AddrPort `arg:"--admin-address,env:PVALVE_ADMIN_ADDRESS" default:"127.0.0.1:0" help:"IP and port for /healthz, /readyz and /metrics; port 0 selects a free port" validate:"address"`
	MemoryMB     int64          `arg:"--memory-mb,env:PVALVE_MEMORY_MB" default:"0" help:"memory that this process may use, in MiB; a quarter of it holds requests that aren't handled yet; 0 is unknown and counts as 256" validate:"gte=0,lte=1048576"`
	// MaxConnections is below the limit of the process's descriptors, of which the store, links
	// and calls to other processes need some.
	MaxConnections int           `arg:"--max-connections,env:PVALVE_MAX_CONNECTIONS" default:"0" help:"connections that the servers of this process hold at once; beyond it the one that is least useful is closed; 0 is as many as a quarter of its memory has room for, 32 KiB each, at most 2048" validate:"eq=0|gte=16"`
	BodyTimeout    time.Duration `arg:"--body-timeout,env:PVALVE_BODY_TIMEOUT" default:"10s" help:"time for a caller to send the body of a request" validate:"gt=0"`
	AnswerTimeout  time.Duration `arg:"--answer-timeout,env:PVALVE_ANSWER_TIMEOUT" default:"10s" help:"time for a caller to take 16 KiB of an answer" validate:"gt=0"`
}

// Process are the settings that identify a process and its location.
type Process struct {
	Name    string         `arg:"--name,env:PVALVE_NAME" help:"name of this process, unique on the site" validate:"required,max=100"`
	Address netip.AddrPort `arg:"--address,env:PVALVE_ADDRESS" help:"IP and port to listen on" validate:"address"`
	Region  string         `arg:"--region,env:PVALVE_REGION" help:"region of this host" validate:"required"`
	Zone    string         `arg:"--zone,env:PVALVE_ZONE" help:"availability zone of this host" validate:"required"`
	Rack    string         `arg:"--rack,env:PVALVE_RACK" help:"rack of this host"`
}

// Site are the settings shared by all processes of a site.
type Site struct {
	LogURL       string   `arg:"--log-url,env:PVALVE_LOG_URL" help:"base URL of the platform's log service" validate:"required,url"`
	FleetURL     string   `arg:"--fleet-url,env:PVALVE_FLEET_URL" help:"base URL of the platform's fleet service, which lists the workers" validate:"required,url"`
	Zones        []string `arg:"--zones,env:PVALVE_ZONES" help:"availability zones of the site; must be equal in all processes" validate:"min=1,dive,required"`
	CellsPerZone int      `arg:"--cells-per-zone,env:PVALVE_CELLS_PER_ZONE" default:"1" help:"cells in each zone; must be equal in all processes" validate:"gte=1,lte=64"`
	Homes        int      `arg:"--homes,env:PVALVE_HOMES" default:"4" help:"number of homes (partitions of the idempotency keys); must not be changed on a running site" validate:"gte=1,lte=256"`
}

// Layout returns the partitioning of the site into homes and cells.
func (s Site) Layout() partitioner.Layout {
	return partitioner.Layout{Homes: s.Homes, Zones: s.Zones, CellsPerZone: s.CellsPerZone}
}

// Member returns the process as a member of the site, with a new incarnation.
func (p Process) Member(role, service string) pv.Member {
	return pv.Member{
		Name: p.Name, Role: role, Address: p.Address, Service: service,
		Location:    pv.Location{Region: p.Region, Zone: p.Zone, Rack: p.Rack},
		Incarnation: pv.Incarnation(uuid.Must(uuid.NewV7()).String()),
	}
}

// Exit codes of all programs.
const (
	ExitDone    = 0
	ExitFailed  = 1 // refused (not run) or failed
	ExitUsage   = 2 // invalid arguments or settings
	ExitUnknown = 3 // the outcome is unknown
)

// Parse reads flags and environment variables into settings and validates them.
// It returns an exit code, and false if the program must exit with it.
func Parse(program string, settings any, arguments []string, out, errOut io.Writer) (code int, ok bool) {
	parser, err := arg.NewParser(arg.Config{Program: program, Out: out}, settings)
	if err != nil {
		panic(Error.Wrap(err)) // the struct tags of the settings are invalid
	}
	err = parser.Parse(arguments)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitDone, false
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, program, Version)
		return ExitDone, false
	case err != nil:
		fmt.Fprintln(errOut, program+": "+err.Error())
		return ExitUsage, false
	}
	if faults := Check(settings); len(faults) > 0 {
		fmt.Fprintln(errOut, program+": "+strings.Join(faults, "\n"+program+": "))
		return ExitUsage, false
	}
	return ExitDone, true
}

// Check returns all faults of the settings, one message each.
func Check(settings any) []string {
	check := validator.New(validator.WithRequiredStructEnabled())
	if err := check.RegisterValidation("address", validAddress); err != nil {
		panic(Error.Wrap(err)) // fails only for an empty tag
	}
	err := check.Struct(settings)
	var faults validator.ValidationErrors
	if err != nil && !errors.As(err, &faults) {
		return []string{fmt.Sprintf("the settings can't be checked: %v", err)}
	}
	var out []string
	for _, f := range faults {
		rule := f.Tag()
		if f.Param() != "" {
			rule += "=" + f.Param()
		}
		out = append(out, fmt.Sprintf("%s: value %q violates the rule %q", f.Field(), fmt.Sprint(f.Value()), rule))
	}
	return out
}

func validAddress(f validator.FieldLevel) bool {
	a, ok := f.Field().Interface().(netip.AddrPort)
	return ok && a.IsValid()
}

// Main reads the settings, runs the program, and exits with the code that run
// returns, or with that of Parse if the program must not run.
func Main[S any](program string, run func(S) int) {
	var settings S
	code, ok := Parse(program, &settings, os.Args[1:], os.Stdout, os.Stderr)
	if ok {
		code = run(settings)
	}
	os.Exit(code)
}
