// Package experimenter simulates load and faults in virtual time and compares
// scheduling policies. The product's own admission, routing, retries, scheduler
// and holder run against fakes of the log, the workers and the endpoints. The
// policies are the product's own, two baselines, and an oracle that reads the
// ground truth of the simulated work.
package experimenter
