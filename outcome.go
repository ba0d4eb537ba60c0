package persimmonvalve

// This file defines the outcomes of requests and tasks and the reasons for them.
// They are values and not Go errors, so that callers, the report and the metrics
// all use the same pair of outcome and reason.

// Outcome is the way in which a request or task ended.
type Outcome string

// The outcomes. A refused request or task was provably not run; one whose outcome
// is unknown may or may not have run.
const (
	OutcomeFinished  Outcome = "finished"
	OutcomeFailed    Outcome = "failed"
	OutcomeRefused   Outcome = "refused"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeUnknown   Outcome = "unknown"
)

// Reason states why a request or task was refused, retried, evicted or cancelled, or
// why it failed.
type Reason string

// The reasons.
const (
	NoReason                Reason = ""
	ReasonRateExceeded      Reason = "rateExceeded"      // the plan's request rate and burst are used up
	ReasonCeilingReached    Reason = "ceilingReached"    // the plan already holds the ceiling of its allowance
	ReasonQueueFull         Reason = "queueFull"         // the bounded queue of the class or plan is full
	ReasonDeadlineTooClose  Reason = "deadlineTooClose"  // the work can't be finished before its deadline
	ReasonUnknownPlan       Reason = "unknownPlan"       // the plan or service isn't in the lists
	ReasonNoAllowance       Reason = "noAllowance"       // the plan has no allowance
	ReasonMissingKey        Reason = "missingKey"        // non-idempotent work was submitted without Idempotency-Key
	ReasonKeyReused         Reason = "keyReused"         // the same key was used before with another body
	ReasonBodyTooLarge      Reason = "bodyTooLarge"      // the body exceeds the limit
	ReasonBadInput          Reason = "badInput"          // the input is malformed
	ReasonNoEndpoint        Reason = "noEndpoint"        // the service has no live endpoint
	ReasonEndpointFull      Reason = "endpointFull"      // all slots or connections of the endpoint are in use
	ReasonEndpointDraining  Reason = "endpointLeaving"   // the endpoint is draining and takes no new work
	ReasonLogUnavailable    Reason = "logUnavailable"    // the log service or the platform's list of workers doesn't answer in time
	ReasonNoConfiguration   Reason = "noConfiguration"   // the process has no configuration yet
	ReasonNoHolder          Reason = "noHolder"          // the stream currently has no holder
	ReasonNeverFits         Reason = "neverFits"         // no worker is large enough for the task
	ReasonAttemptsExhausted Reason = "attemptsExhausted" // the retry limit is reached
	ReasonTaskFailed        Reason = "taskFailed"        // the task reported a failure
	ReasonEndpointSlow      Reason = "probedSlow"        // the endpoint answers much more slowly than its peers
	ReasonConnectFailed     Reason = "connectFailed"     // the connection to the peer failed; nothing was sent
	ReasonAnswerIncomplete  Reason = "answerCut"         // the answer was lost or incomplete
	ReasonEndpointError     Reason = "endpointError"     // the endpoint answered with an error
	ReasonTimeout           Reason = "timeout"           // the deadline passed while the work was in progress
	ReasonInProgress        Reason = "inProgress"        // an earlier request with the same key is still in progress
	ReasonLeaseLapsed       Reason = "leaseLapsed"       // the worker's lease lapsed
	ReasonWorkerRestarted   Reason = "workerRestarted"   // the worker restarted and lost its runs
	ReasonNeverStarted      Reason = "neverStarted"      // the start command never took effect
	ReasonInterference      Reason = "disturbsOthers"    // the task slowed down co-located tasks too much
	ReasonPreempted         Reason = "preempted"         // more urgent work needed its guaranteed share
	ReasonCancelledByCaller Reason = "cancelledByCaller" // the caller cancelled the work
	ReasonWorkerFault       Reason = "workerFault"       // the worker fails tasks of a kind that finish on other workers
	ReasonCrashesWorkers    Reason = "crashesWorkers"    // workers crashed shortly after they had started the task
	ReasonTermSuperseded    Reason = "termSuperseded"    // another holder took over the stream
	ReasonRetryBudget       Reason = "retryBudget"       // the retry budget is used up
	ReasonLinkBudget        Reason = "linkBudget"        // the byte budget between regions is used up
	ReasonShuttingDown      Reason = "shuttingDown"      // the process is shutting down
)

// Class is the class of a plan's work. Among the plans that have their guaranteed
// amounts, the more urgent class gets capacity first. To limit interference with
// urgent tasks, the scheduler throttles and evicts tasks of the other classes.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent   Class = "urgent"
	ClassHeavy    Class = "heavy"
	ClassStanding Class = "standing" // its tasks need no declared run time
)

// Classes lists the classes, most urgent first.
var Classes = [...]Class{ClassUrgent, ClassHeavy, ClassStanding}
