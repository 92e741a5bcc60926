package node

// Event names of this process's log. Each event is one line whose fields are the inputs of a
// decision and its outcome (docs/OPERATIONS.md).
const (
	// A client request ended.
	eventRequest = "request"
	// An attempt at an endpoint gave no usable response.
	eventAttemptFailed = "attempt failed"
	// A request that waited far too long at an endpoint was sent to another one as well.
	eventSecondAttempt = "second attempt"
	// Handling what another process sent panicked. The task failed, the process goes on.
	eventPanic = "panic"
	// A response was truncated.
	eventAnswerBroken = "answer broke"
	// A response is larger than what is held of one, or than the memory has room for, and is passed on as it arrives.
	eventResponsePassedOn = "response passed on"
	// The node did not read a response to its end.
	eventResponseCut = "response cut"
	// An endpoint declined a request without executing it.
	eventEndpointDeclined = "endpoint declined"
	// The rate limit that an endpoint advertises changed.
	eventLimitChanged = "endpoint rate limit changed"
	// A signal in an endpoint's response cannot be parsed.
	eventSignalInvalid = "endpoint signal invalid"
	// A response carries a signal that is unknown to this version.
	eventSignalUnknown = "endpoint signal unknown"
	// An endpoint announced in a response that it is draining.
	eventEndpointDraining = "endpoint draining"
	// An endpoint announced in a response that it is cold, or for longer than known before.
	eventEndpointCold = "endpoint cold"
	// An endpoint rejected a request and asked for a backoff.
	eventEndpointBackoff = "endpoint backoff"
	// A stream was interrupted.
	eventStreamBroken = "stream broke"
	// A stream goes on at another endpoint, within its response or in another attempt of its client.
	// The line tells at which software version it began, at which it goes on and how this is known.
	eventStreamContinued = "stream continued"
	// A client's attempt to continue a stream is refused, since no node that was asked knows where it began.
	eventOriginUnknown = "stream origin unknown"
	// Records of where streams began, or the versions of services, can't be written to the store, or can again.
	eventOriginsNotStored = "stream origins not stored"
	eventOriginsStored    = "stream origins stored again"
	// What the store holds of where streams began was read, since no node that was asked knew, or can't be read.
	eventOriginsRead    = "stream origins read"
	eventOriginsNotRead = "stream origins not read"
	// The versions that a service's endpoints had lately were written to the store.
	eventVersionsRecorded = "service versions recorded"
	// A leader did not respond and is not used for a while.
	eventLeaderLost = "leader lost"
	// A standby received nothing from a leader for a while and opened a new connection to it.
	eventLeaderPinged = "silent leader pinged"
	// A standby takes over a cell from a leader that does not respond.
	eventTookOver = "took over a cell"
	// The shares or bookings for a standby could not be encoded or decoded.
	eventStandbySnapshot = "standby snapshot unusable"
	// Another node took over a cell, so that work is resubmitted there or, at the former
	// leader, handed off.
	eventLeaderChanged = "leader changed"
	// A call to a stage service returned all its results.
	eventStageCall = "stage call"
	// A call to a stage service got no response.
	eventStageCallLost = "stage call lost"
	// A call to a stage service left pieces without a result. The line counts them by reason.
	eventStageCallIncomplete = "stage call with unmade pieces"
	// The state of a stage service as seen by its leader, logged once a second while it is in
	// use.
	eventStageService = "stage service"
	// The schedule of stage tasks rejected one.
	eventTaskRefused = "task refused"
	// What the groups of requests were served, while tasks are refused.
	eventShares = "shares"
	// A leader placed prompts at engines whose reserved memory left no room for them, because no
	// engine had room; logged at most once a second.
	eventNoEngineRoom = "prompts placed without room"
	// An endpoint took too long for a part of a request's body, and the attempt was ended.
	eventBodyNotTaken = "endpoint takes no body"
	// Stage results could not be released at the endpoint that holds them.
	eventResultsNotFreed = "results not freed"
	// A model engine reported which parts of prompts its cache holds.
	eventCacheLearned = "cache learned"
	// A model engine did not report the contents of its prompt cache.
	eventCacheUnknown = "cache unknown"
	// This node claims the leadership of a cell of stage endpoints.
	eventCellClaimed = "leads a cell"
	// This node releases its claim to a cell.
	eventCellReleased = "leads a cell no more"
	// The operator ordered a rollout.
	eventRolloutOrdered = "rollout ordered"
	// An order of a rollout is malformed and has no effect.
	eventRolloutRefused = "rollout refused"
	// A rollout reached another phase.
	eventRolloutStage = "rollout stage"
	// The status of a rollout was recorded in the store.
	eventRolloutRecorded = "rollout recorded"
	// The status of a rollout could not be read or recorded in the store.
	eventRolloutStatusLost = "rollout status not recorded"
	// A newer configuration replaces the present one.
	eventConfigurationApplied = "configuration in force"
	// A configuration cannot be parsed.
	eventConfigurationRefused = "configuration refused"
	// An endpoint was added to the list, or its draining state changed, or it became cold.
	eventEndpointListed = "endpoint listed"
	// So many endpoints changed at once that one line stands for all of them.
	eventEndpointsReplaced = "endpoints replaced"
	// An endpoint was removed from the list.
	eventEndpointRemoved = "endpoint gone"
	// An entry of the endpoint list is invalid and names no endpoint to use.
	eventEntryRefused = "entry refused"
	// The number of endpoints changed whose entries lapsed in the store but that remain in
	// use.
	eventEndpointsKept = "endpoints kept"
	// The evacuation of a failure domain started or ended. While it lasts, no work is sent to
	// its endpoints.
	eventEvacuationInForce = "evacuation in force"
	eventEvacuationEnded   = "evacuation over"
	// The row of an evacuation is invalid. The line says whether the evacuation applies
	// anyway.
	eventEvacuationRefused = "evacuation not as expected"
	// The number of live nodes changed.
	eventMembersChanged = "members changed"
	// The store was restored from an older copy.
	eventStoreRestored = "store restored"
	// The era in the store's responses is missing or invalid.
	eventStoreEra = "store era not as expected"
	// The platform's store does not respond to this node.
	eventStoreLost = "store lost"
	// The store responds again.
	eventStoreRecovered = "store reached"
	// This node starts to read the store, as a primary reader or in place of the readers.
	eventStoreReadsStarted = "reads the store"
	// This node stops reading the store and leaves that to the readers.
	eventStoreReadsEnded = "reads the store no more"
	// Runs of requests at an endpoint broke without a complete response. The line says
	// whether the endpoint refuses connections.
	eventRunBroken = "run broke"
	// An endpoint crashed while requests ran there, or was found not to have crashed.
	eventEndpointCrashed = "endpoint ended under requests"
	// A request was served whose prompt has parts that were running when an endpoint crashed.
	eventPartsServed = "prompt parts served since a crash"
	// A content or a prompt part is refused from now on, because endpoints crashed while requests with it
	// ran.
	eventPoisonRefused = "request crashes endpoints"
	// Another node reported that a content or a prompt part crashes endpoints.
	eventPoisonReceived = "heard of a request that crashes endpoints"
	// Endpoints crashed under a prompt part. Nodes that served it since tell so.
	eventPoisonSuspected = "prompt part suspected of crashing endpoints"
	// A content or a prompt part is no longer refused or suspected, because it was served successfully
	// or its crashes were retracted.
	eventPoisonPardoned = "request refused no more"
	// The endpoints of a service began or ceased to fail if they must reject too many requests.
	eventBrittleChanged = "service brittle"
	// Another node reached an endpoint to which this one has lost its path, and relays to it.
	eventRelayed = "endpoint reached through another node"
	// This node did not connect to an endpoint for another one.
	eventRelayRefused = "relay refused"
	// This node can't open connections to some endpoints of a service; logged at most once a second
	// and service while that is so.
	eventPathsLost = "endpoint paths lost"
	// This node can open connections to all endpoints of a service again.
	eventPathsRestored = "endpoint paths restored"
	// A connection to another node was lost or could not be opened.
	eventPeerLost = "peer lost"
	// A connection from a process that is not a node of this system was refused.
	eventPeerRefused = "peer refused"
	// A node sent a message of a type that nodes do not exchange, or with an invalid request
	// ID.
	eventUnexpectedMessage = "message not expected"
	// The metrics listener cannot be opened.
	eventNoMetrics = "no metrics"
	// The process has started to serve requests.
	eventStarted = "started"
	// A graceful shutdown begins.
	eventStopping = "stopping"
	// A graceful shutdown finished with no request in flight.
	eventStopped = "stopped"
	// A graceful shutdown timed out with requests in flight.
	eventStoppedWithRequestsInFlight = "stopped with requests in flight"
	// A graceful shutdown closed connections whose last responses were not fully sent.
	eventConnectionsCut = "connections cut"
)
