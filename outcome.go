package persimmonvalve

// This file defines how work ends. An outcome is a value, never a Go error:
// callers, the report and the counters all read the same pair of outcome and
// reason.

// Outcome says how a request or task ended.
type Outcome string

// The outcomes. Refused means provably not run; Unknown means that it may or
// may not have run.
const (
	Finished  Outcome = "finished"
	Failed    Outcome = "failed"
	Refused   Outcome = "refused"
	Cancelled Outcome = "cancelled"
	Unknown   Outcome = "unknown"
)

// Reason says why a request or task was refused, retried, evicted or failed.
type Reason string

// The reasons.
const (
	NoReason          Reason = ""
	ReasonRate        Reason = "rateExceeded"      // the plan's request rate and burst are used up
	ReasonCeiling     Reason = "ceilingReached"    // the plan holds all that its allowance permits
	ReasonQueueFull   Reason = "queueFull"         // the bounded queue of the class or plan is full
	ReasonDeadline    Reason = "deadlineTooClose"  // the work can't be answered in time
	ReasonNoPlan      Reason = "unknownPlan"       // no such plan or service in the lists
	ReasonNoAllowance Reason = "noAllowance"       // the plan has no allowance
	ReasonNoKey       Reason = "missingKey"        // non-idempotent work without Idempotency-Key
	ReasonKeyReused   Reason = "keyReused"         // the key was used before with another body
	ReasonTooLarge    Reason = "bodyTooLarge"      // the body is over the limit
	ReasonBadInput    Reason = "badInput"          // the input is malformed
	ReasonNoEndpoint  Reason = "noEndpoint"        // no live endpoint of the service
	ReasonEndpointFul Reason = "endpointFull"      // the guard's slots or connections are used up
	ReasonLeaving     Reason = "endpointLeaving"   // the endpoint takes no new work
	ReasonLogDown     Reason = "logUnavailable"    // the log service doesn't answer
	ReasonNoConfig    Reason = "noConfiguration"   // the process has no configuration yet
	ReasonNoHolder    Reason = "noHolder"          // nobody holds the term of the stream now
	ReasonNeverFits   Reason = "neverFits"         // no worker can ever hold the task
	ReasonAttempts    Reason = "attemptsExhausted" // the retry limit is reached
	ReasonTask        Reason = "taskFailed"        // the task itself reported failure
	ReasonSlow        Reason = "probedSlow"        // the endpoint answers far slower than its peers
	ReasonConnect     Reason = "connectFailed"     // the peer could not be reached, nothing was sent
	ReasonCut         Reason = "answerCut"         // the answer was lost or came in part
	ReasonEndpoint    Reason = "endpointError"     // the endpoint answered with an error
	ReasonTimeout     Reason = "timeout"           // the deadline passed while it was in progress
	ReasonInProgress  Reason = "inProgress"        // the first request with this key hasn't ended
	ReasonLapsed      Reason = "leaseLapsed"       // the worker's lease lapsed
	ReasonWorkerReset Reason = "workerRestarted"   // the worker came back empty
	ReasonNeverBegan  Reason = "neverStarted"      // the start command never took effect
	ReasonNoise       Reason = "disturbsOthers"    // it slowed its neighbours too much
	ReasonPreempted   Reason = "preempted"         // more urgent work needed the guaranteed share
	ReasonCancel      Reason = "cancelledByCaller" // the caller cancelled it
	ReasonWorkerFault Reason = "workerFault"       // the worker fails what others finish
	ReasonTerm        Reason = "termSuperseded"    // another holder took over the stream
	ReasonBudget      Reason = "retryBudget"       // the retry budget is used up
	ReasonLink        Reason = "linkBudget"        // the byte budget between regions is used up
	ReasonShutdown    Reason = "shuttingDown"      // the process is stopping gracefully
)

// Class is the urgency of a plan's work.
type Class string

// The classes, most urgent first.
const (
	Urgent   Class = "urgent"
	Heavy    Class = "heavy"
	Standing Class = "standing"
)

// Classes lists the classes, most urgent first.
var Classes = [...]Class{Urgent, Heavy, Standing}
