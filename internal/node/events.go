package node

// The names of all events in this process's log. Each event is one line; its
// fields are the inputs of the decision and its outcome (docs/OPERATIONS.md).
const (
	// The end of a client's request.
	eventRequest = "request"
	// An attempt at an endpoint without a usable answer.
	eventAttemptFailed = "attempt failed"
	// An answer that broke off.
	eventAnswerBroken = "answer broke"
	// An endpoint said that it has not run a request.
	eventEndpointDeclined = "endpoint declined"
	// The rate limit that an endpoint advertises changed.
	eventLimitChanged = "endpoint rate limit changed"
	// A signal in an answer of an endpoint can't be parsed.
	eventSignalInvalid = "endpoint signal invalid"
	// An answer carries a signal that this version doesn't know.
	eventSignalUnknown = "endpoint signal unknown"
	// An endpoint announced in an answer that it drains.
	eventEndpointDraining = "endpoint draining"
	// An endpoint announced in an answer that it is cold, or for longer than known.
	eventEndpointCold = "endpoint cold"
	// An endpoint rejected a request and asked this node to send nothing for a while.
	eventEndpointBackoff = "endpoint backoff"
	// A stream that broke off.
	eventStreamBroken = "stream broke"
	// A leader did not answer and is passed over for a while.
	eventLeaderLost = "leader lost"
	// A call of a stage service that made all its pieces.
	eventStageCall = "stage call"
	// A call of a stage service without an answer.
	eventStageCallLost = "stage call lost"
	// A call of a stage service that left pieces unmade, by reason.
	eventStageCallIncomplete = "stage call with unmade pieces"
	// The state of a stage service at its leader, once a second while it is in use.
	eventStageService = "stage service"
	// Results that could not be freed at their maker.
	eventResultsNotFreed = "results not freed"
	// A model engine told which parts of prompts it holds.
	eventCacheLearned = "cache learned"
	// A model engine did not tell which parts of prompts it holds.
	eventCacheUnknown = "cache unknown"
	// This node claims a cell of stage endpoints.
	eventCellClaimed = "leads a cell"
	// This node gives its claim back.
	eventCellReleased = "leads a cell no more"
	// A configuration takes the place of the one before.
	eventConfigurationInForce = "configuration in force"
	// A configuration that can't be read.
	eventConfigurationRefused = "configuration refused"
	// An endpoint is new in the list, or began or ended to leave.
	eventEndpointListed = "endpoint listed"
	// An endpoint left the list.
	eventEndpointRemoved = "endpoint gone"
	// An entry of the list of endpoints names none to use.
	eventEntryRefused = "entry refused"
	// The number of endpoints that are used although the store does not list them
	// changed.
	eventEndpointsKept = "endpoints kept"
	// Nothing further is sent to the endpoints of a failure domain, or again.
	eventEvacuationInForce = "evacuation in force"
	eventEvacuationEnded   = "evacuation over"
	// A row that evacuates a failure domain is not as it should be.
	eventEvacuationRefused = "evacuation not as expected"
	// The number of known nodes changed.
	eventMembersChanged = "members changed"
	// The store came back from an older copy of itself.
	eventStoreRestored = "store restored"
	// The store's answers do not tell its era as they should.
	eventStoreEra = "store era not as expected"
	// The platform's store does not answer this node.
	eventStoreLost = "store lost"
	// The store answers again.
	eventStoreRecovered = "store reached"
	// This node reads the store itself, as a reader or in the readers' place.
	eventStoreReadsStarted = "reads the store"
	// This node leaves the store to its readers.
	eventStoreReadsEnded = "reads the store no more"
	// Runs of requests broke off at an endpoint without a whole answer, and whether it
	// refuses connections now.
	eventRunBroken = "run broke"
	// An endpoint ended under the requests that ran there, or did not although it was
	// taken to have.
	eventEndpointCrashed = "endpoint ended under requests"
	// A request is refused from now on, since endpoints ended under it.
	eventPoisonRefused = "request crashes endpoints"
	// Another node told that a request crashes endpoints.
	eventPoisonReceived = "heard of a request that crashes endpoints"
	// A request is refused no more, since it was served or the ends were none.
	eventPoisonPardoned = "request refused no more"
	// A connection to a node broke or could not be opened.
	eventPeerLost = "peer lost"
	// A connection from a process that is no node of this system.
	eventPeerRefused = "peer refused"
	// A message that nodes don't send each other.
	eventUnexpectedMessage = "message not expected"
	// The metrics address can't be opened.
	eventNoMetrics = "no metrics"
	// The process serves from here on.
	eventStarted = "started"
	// A planned stop begins.
	eventStopping = "stopping"
	// A planned stop has ended with nothing in flight.
	eventStopped = "stopped"
	// A planned stop ran out of time.
	eventStoppedWithRequestsInFlight = "stopped with requests in flight"
	// A planned stop cut connections on which the last answers did not get out.
	eventConnectionsCut = "connections cut"
)
