// Package standin holds small fakes of the platform: a log service, workers
// and endpoints, with the faults that the real ones have. They serve tests,
// experiments and the first run; nothing of the product depends on them.
package standin
