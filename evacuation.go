package persimmonvalve

// Evacuations are the availability zones whose workers get no new runs, at the operator's
// request. Runs that have started there continue.
type Evacuations struct {
	Zones   []string // sorted
	Version Offset   // the operator's records before this offset are taken into account
}
