package controller

// This file defines the command that explains where a job would go now.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"persimmonvalve/planner"
)

// Explain says where a job would go if it were submitted to a queue of the users' platform now,
// and why, without sending it.
type Explain struct {
	Queue   string `arg:"positional,required" help:"name of the queue in the operator's configuration"`
	File    string `arg:"-f,--file" help:"file with the body of the submission; standard input if it is left out"`
	Gateway string `arg:"--gateway,env:PVALVE_GATEWAY" default:"http://127.0.0.1:9464" help:"base URL of a gateway's admin address" validate:"url"`
}

// maxExplanationBytes bounds what is read of a gateway's answer.
const maxExplanationBytes = 16 << 20

// Run implements Command.
func (e *Explain) Run(ctx context.Context, c *Controller) error {
	in := c.in
	if e.File != "" {
		file, err := os.Open(e.File)
		if err != nil {
			return UsageError{err.Error()}
		}
		defer file.Close()
		in = file
	}
	address := strings.TrimSuffix(e.Gateway, "/") + "/explain?queue=" + url.QueryEscape(e.Queue)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, in)
	if err != nil {
		return UsageError{err.Error()}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	switch {
	case err != nil:
		return Error.Wrap(err)
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusBadRequest:
		return UsageError{strings.TrimSpace(string(body))}
	case response.StatusCode != http.StatusOK:
		return Error.New("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	var out planner.Explanation
	if err := json.Unmarshal(body, &out); err != nil {
		return Error.New("the gateway's answer: %w", err)
	}
	return c.print(out, func(w io.Writer) { writeExplanation(w, out) })
}

func writeExplanation(w io.Writer, e planner.Explanation) {
	fmt.Fprintf(w, "queue %s, priority %d\n", e.Queue, e.Priority)
	if len(e.Steps) == 0 {
		fmt.Fprintln(w, "no step is due now")
	}
	for _, s := range e.Steps {
		inTime := "can be in time"
		if !s.CanBeInTime {
			inTime = "is late already"
		}
		fmt.Fprintf(w, "step %d: %d %s tasks, %s, work per gain %.2f; %d steps with %d waiting tasks go before it\n", s.Step, s.Tasks, s.Kind, inTime, s.WorkPerGain, s.StepsAhead, s.TasksAhead)
		switch {
		case s.Waits != "":
			fmt.Fprintf(w, "the first task waits: %s\n", s.Waits)
		default:
			fmt.Fprintf(w, "the first task starts on %s\n", s.Chosen)
		}
		fmt.Fprintln(w, "worker\tzone\tscore\tspeed\treason against it")
		for _, o := range s.Workers {
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%s\n", o.Worker, o.Zone, o.Score, o.Speed, o.Reason)
		}
	}
}
