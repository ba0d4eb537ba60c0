// Package experimenter measures the policy under load and faults in virtual
// time: the product's own admission, routing, retries, scheduling and holder
// run against small fakes, beside baselines and an oracle.
package experimenter
