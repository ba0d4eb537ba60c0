// Package experimenter simulates load and faults in virtual time and compares
// scheduling policies. The product's own admission, routing, retries, scheduler
// and holder run against fakes of the log, the workers and the endpoints. The
// policies are the product's own, two baselines, and an oracle that reads the
// ground truth of the simulated work.
//
// Files:
//   - experimenter.go: runs of an experiment and the table of results
//   - ground_truth.go: real sizes, run times and interference of the work
//   - policies.go: the policies that are compared
//   - requests.go: path of a request from the client to a fake endpoint
//   - results.go: measurements after the warm-up
//   - scenario.go: sites, scenarios and the published configuration
//   - simulation.go: virtual clock, event queue and the connected components
package experimenter
