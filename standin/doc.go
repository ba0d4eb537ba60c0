// Package standin provides in-memory fakes of the platform for tests,
// experiments and the demo: a log service, a keyed store, workers and endpoints,
// each with the faults that the real ones have, which can be injected. Production
// code does not depend on it.
package standin
