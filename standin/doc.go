// Package standin provides in-memory fakes of the platform for tests,
// experiments and the demo: a log service, a keyed store, workers and endpoints,
// each with injectable faults. Production code does not depend on it.
package standin
