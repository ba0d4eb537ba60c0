package controller

// This file defines the commands for the lists of plans and allowances.

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"persimmonvalve/internal/apigen"
	"persimmonvalve/parser"
)

const allowancesList = "allowances"

// Publish publishes a list that is read from a file.
type Publish struct {
	File   string `arg:"-f,--file,required" help:"file with the list; - reads standard input"`
	Amends string `arg:"--amends" help:"version of the list that the file replaces; default: the current version"`
	Author string `arg:"--author,env:PVALVE_AUTHOR" help:"author of the change, for the history"`
	list   string
}

// ForList sets the list, "plans" or "allowances", and returns the command.
func (p *Publish) ForList(list string) Command { p.list = list; return p }

// Run implements Command.
func (p *Publish) Run(ctx context.Context, c *Controller) error {
	text, err := c.read(p.File)
	if err != nil {
		return err
	}
	if faults := validate(p.list, text); len(faults) > 0 {
		return UsageError{formatFaults(p.File, faults)}
	}
	amends := p.Amends
	if amends == "" {
		current, err := c.show(ctx, p.list)
		if err != nil {
			return err
		}
		amends = current.ETag
	}
	published, err := c.put(ctx, p.list, text, amends, p.Author)
	if err != nil {
		return err
	}
	version := strings.Trim(published.ETag, `"`)
	return c.print(map[string]string{"list": p.list, "version": version}, func(w io.Writer) {
		row(w, p.list, "published as version", version)
	})
}

func (c *Controller) read(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(c.in)
		return data, Error.Wrap(err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, UsageError{err.Error()}
	}
	return data, nil
}

// validate returns the faults of the text of a list.
func validate(list string, text []byte) []parser.Fault {
	if list == allowancesList {
		_, faults := parser.ParseAllowances(text)
		return faults
	}
	_, faults := parser.ParsePlans(text)
	return faults
}

// formatFaults returns one line per fault, prefixed with the name of the file.
func formatFaults(file string, faults []parser.Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = file + ":" + f.String()
	}
	return strings.Join(lines, "\n")
}

func (c *Controller) put(ctx context.Context, list string, text []byte, amends, author string) (*apigen.ListHeaders, error) {
	authorParam := apigen.OptString{}
	if author != "" {
		authorParam = apigen.NewOptString(author)
	}
	body := strings.NewReader(string(text))
	if list == allowancesList {
		return c.api.PutAllowances(ctx, apigen.PutAllowancesReq{Data: body}, apigen.PutAllowancesParams{IfMatch: amends, PvalveAuthor: authorParam})
	}
	return c.api.PutPlans(ctx, apigen.PutPlansReq{Data: body}, apigen.PutPlansParams{IfMatch: amends, PvalveAuthor: authorParam})
}

func (c *Controller) show(ctx context.Context, list string) (*apigen.ListHeaders, error) {
	if list == allowancesList {
		return c.api.GetAllowances(ctx)
	}
	return c.api.GetPlans(ctx)
}

// Show prints the current version of a list.
type Show struct{ list string }

// ForList sets the list, "plans" or "allowances", and returns the command.
func (s *Show) ForList(list string) Command { s.list = list; return s }

// Run implements Command.
func (s *Show) Run(ctx context.Context, c *Controller) error {
	shown, err := c.show(ctx, s.list)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(shown.Response)
	if err != nil {
		return Error.Wrap(err)
	}
	version := strings.Trim(shown.ETag, `"`)
	return c.print(map[string]string{"list": s.list, "version": version, "text": string(text)}, func(w io.Writer) {
		fmt.Fprintf(w, "# version %s\n%s", version, text)
	})
}

// Check validates a file without publishing it.
type Check struct {
	File string `arg:"positional,required" help:"file with the list; - reads standard input"`
	list string
}

// ForList sets the list, "plans" or "allowances", and returns the command.
func (k *Check) ForList(list string) Command { k.list = list; return k }

// Run implements Command.
func (k *Check) Run(_ context.Context, c *Controller) error {
	text, err := c.read(k.File)
	if err != nil {
		return err
	}
	if faults := validate(k.list, text); len(faults) > 0 {
		return UsageError{formatFaults(k.File, faults)}
	}
	return c.print(map[string]string{"list": k.list, "state": "no faults"}, func(w io.Writer) {
		row(w, k.File, "is valid")
	})
}

// History prints the history of changes of a list.
type History struct{ list string }

// ForList sets the list, "plans" or "allowances", and returns the command.
func (h *History) ForList(list string) Command { h.list = list; return h }

// Run implements Command.
func (h *History) Run(ctx context.Context, c *Controller) error {
	changes, err := c.api.GetHistory(ctx, apigen.GetHistoryParams{List: apigen.GetHistoryList(h.list)})
	if err != nil {
		return err
	}
	return c.print(changes, func(w io.Writer) {
		row(w, "VERSION", "AMENDS", "TIME", "AUTHOR", "VERDICT")
		for _, ch := range changes {
			row(w, ch.Version, ch.Amends, ch.Time.Format(time.RFC3339), ch.Author, ch.Verdict)
		}
	})
}
