// Package persimmonvalve defines the domain types of the scheduler and the
// interfaces through which it uses the platform.
//
// The packages below the root depend on these interfaces and never on the
// transport of a platform or of a stand-in, so that supporting another platform
// needs only new adapters.
//
// There are two generations of interfaces.
//
// In the older one, customers submit tasks of their plans (TaskSpec). The platform
// provides a Log of append-only streams, and a Fleet, the list of workers
// (WorkerInfo). A home is a stream that records the submissions and requests whose
// keys hash to it. A cell is the workers of some racks in one zone, which are
// scheduled together; its stream records their tasks. Since the log has no
// conditional append, the stream of a home or cell has a holder: the process that
// has claimed the stream's newest Term by a record in it. Readers ignore records of
// lower terms. The holder of a cell has a lease (LeaseID) on each of the cell's
// workers and sends commands on attempts (AttemptID, AttemptStatus) through the
// interface Worker.
//
// In the newer one, callers submit a Job of steps to a Queue of a site. The platform
// provides a Store with conditional appends, by which the processes of the site
// elect a leader. The leader places the runs of the job's tasks (RunRef). A
// supervisor beside each worker sends the leader's orders to it through the
// interface WorkerClient, under the leader's fencing token (WorkerLease), and
// reports the WorkerState and the RunStatus of each run.
//
// Files:
//   - identity.go: identifiers, and the descriptions of workers and submitted tasks
//   - job.go: jobs, queues, and the runs of tasks on workers
//   - lists.go: plans, allowances and the configuration that combines them
//   - outcome.go: outcomes, reasons and classes of work
//   - platform.go: interfaces of the log, the fleet, workers and endpoints; members
//   - policy.go: interface of placement policies
//   - resources.go: amounts of resources, such as millicores and memory
//   - store.go: interfaces of the store with conditional appends, and of workers
package persimmonvalve
