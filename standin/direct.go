package standin

// This file defines workers that are called directly, without HTTP, for tests
// and experiments in one process or under a paused clock.

import (
	"context"
	"time"

	pv "persimmonvalve"
)

var (
	_ pv.Fleet   = (*Workers)(nil)
	_ pv.Workers = (*Workers)(nil)
)

// Workers implements pv.Fleet.
func (ws *Workers) Workers(context.Context) ([]pv.WorkerInfo, error) { return ws.list(), nil }

// Worker implements pv.Workers.
func (ws *Workers) Worker(info pv.WorkerInfo) pv.Worker { return &directWorker{ws: ws, id: info.ID} }

type directWorker struct {
	ws *Workers
	id pv.WorkerID
}

// Lease implements pv.Worker.
func (d *directWorker) Lease(_ context.Context, q pv.LeaseRequest) (report pv.WorkerReport, err error) {
	_, err = d.ws.withWorker(d.id, func(c *WorkerCore) (any, error) {
		var err error
		report, err = c.Lease(time.Now(), q)
		return nil, err
	})
	return report, err
}

// Start implements pv.Worker.
func (d *directWorker) Start(_ context.Context, q pv.StartCommand) error {
	_, err := d.ws.withWorker(d.id, func(c *WorkerCore) (any, error) { return nil, c.Start(time.Now(), q) })
	return err
}

// Stop implements pv.Worker.
func (d *directWorker) Stop(_ context.Context, q pv.RunCommand) (run pv.AttemptStatus, err error) {
	_, err = d.ws.withWorker(d.id, func(c *WorkerCore) (any, error) {
		var err error
		run, err = c.Stop(time.Now(), q)
		return nil, err
	})
	return run, err
}

// Throttle implements pv.Worker.
func (d *directWorker) Throttle(_ context.Context, q pv.RunCommand) error {
	_, err := d.ws.withWorker(d.id, func(c *WorkerCore) (any, error) { return nil, c.Throttle(time.Now(), q) })
	return err
}
