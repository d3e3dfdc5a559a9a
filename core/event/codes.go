package event

// Code is the number of one kind of event. The meaning of a number never changes,
// so that logs of different versions can be read together.
type Code int

// The codes of all events. docs/EVENTS.md is generated from the catalogue below, which describes
// them.
const (
	DaemonStarted    Code = 1001
	DaemonReady      Code = 1002
	DaemonNotReady   Code = 1003
	DaemonDraining   Code = 1004
	DaemonStopped    Code = 1005
	KeysReloaded     Code = 1006
	KeysRejected     Code = 1007
	InvariantBroken  Code = 1008
	SettingsReloaded Code = 1009
	SettingsRejected Code = 1010

	PeerUp          Code = 2001
	PeerDown        Code = 2002
	PeerRefused     Code = 2003
	BoxAppeared     Code = 2010
	BoxLeaving      Code = 2011
	BoxGone         Code = 2012
	BoxListFailed   Code = 2013
	TargetLeaving   Code = 2014
	TargetReturning Code = 2015
	TargetSuspect   Code = 2016
	TargetHealthy   Code = 2017
	DomainEvacuated Code = 2018
	DomainReturned  Code = 2019
	TargetEnded     Code = 2020

	TargetSaysLeaving Code = 2021
	TargetRests       Code = 2022
	TargetRested      Code = 2023
	TargetUnreadable  Code = 2024
	TargetLimits      Code = 2025
	TargetUnlimited   Code = 2026

	ConnectionReplaced Code = 2027
	TargetsUnreachable Code = 2028
	TargetsReachable   Code = 2029
	TargetBrittle      Code = 2030
	TargetNotBrittle   Code = 2031
	ConnectionEnded    Code = 2032

	ConfApplied     Code = 3001
	ConfWritten     Code = 3002
	ConfRejected    Code = 3003
	ConfUnknown     Code = 3004
	ConfResynced    Code = 3005
	ConfStale       Code = 3006
	ServiceDown     Code = 3007
	ServiceUp       Code = 3008
	ConfPending     Code = 3009
	ConfUnderived   Code = 3010
	PeerNotTold     Code = 3011
	ValueFetched    Code = 3012
	RolloutStep     Code = 3013
	ListShardTaken  Code = 3014
	ConfDropped     Code = 3015
	ServiceRestored Code = 3016
	ValueInForce    Code = 3017
	WeightsNamed    Code = 3018

	RequestAccepted  Code = 4001
	RequestPlaced    Code = 4002
	RequestDone      Code = 4003
	RequestRefused   Code = 4004
	RequestRetried   Code = 4005
	StreamResumed    Code = 4006
	StreamBroken     Code = 4007
	CallerGone       Code = 4008
	AnswerRejected   Code = 4009
	RequestSuspected Code = 4010
	RequestBlocked   Code = 4011
	RequestReleased  Code = 4012

	ContextImported Code = 5001
	ImportRejected  Code = 5002
	ContextExported Code = 5003
	ExportFailed    Code = 5004
	CacheGap        Code = 5005
	CacheResynced   Code = 5006
	StoreReclaimed  Code = 5007

	ClaimGranted   Code = 6001
	ClaimRefused   Code = 6002
	ClaimAnswered  Code = 6003
	ShardTaken     Code = 6004
	ShardLost      Code = 6005
	ClaimUnsettled Code = 6006
	CallSent       Code = 6007
	CallUnknown    Code = 6008

	LeaseTaken    Code = 7001
	LeaseLost     Code = 7002
	OrderSent     Code = 7003
	OrderDone     Code = 7004
	OrderRejected Code = 7005
	OrderDeferred Code = 7006
)

// Level is the severity of an event.
type Level string

// The levels of events, in order of increasing severity.
const (
	Debug   Level = "debug"
	Info    Level = "info"
	Warning Level = "warning"
	Error   Level = "error"
)

// Entry describes one code of the catalogue.
type Entry struct {
	Code    Code
	Name    string
	Level   Level
	Meaning string
}

var catalogue = []Entry{
	{DaemonStarted, "daemonStarted", Info, "The daemon has read its settings and opened its listeners."},
	{DaemonReady, "daemonReady", Info, "The daemon has a configuration that it may use, and accepts requests."},
	{DaemonNotReady, "daemonNotReady", Warning, "The daemon accepts no requests; the text has the reason."},
	{DaemonDraining, "daemonDraining", Info, "A graceful shutdown has started: the daemon stops accepting requests, and running ones continue."},
	{DaemonStopped, "daemonStopped", Info, "The last request has finished, or the drain limit has passed; the process exits."},
	{KeysReloaded, "keysReloaded", Info, "Changed TLS files were read and are in use."},
	{KeysRejected, "keysRejected", Error, "Changed TLS files could not be loaded; the former ones stay in use."},
	{InvariantBroken, "invariantBroken", Error, "The program has reached a state that its invariants exclude. Please report it with the stack."},
	{SettingsReloaded, "settingsReloaded", Info, "A changed settings file was read; the text lists the settings that are applied."},
	{SettingsRejected, "settingsRejected", Error, "A changed settings file is invalid; the former settings stay applied."},

	{PeerUp, "peerUp", Info, "Heartbeats of another daemon arrive."},
	{PeerDown, "peerDown", Warning, "No heartbeat of another daemon arrived within the time that the setting suspect allows."},
	{PeerRefused, "peerRefused", Error, "A connection to the peer port did not prove that it comes from a daemon."},
	{BoxAppeared, "boxAppeared", Info, "The box list has a new box."},
	{BoxLeaving, "boxLeaving", Info, "The box list reports that a box is shutting down; its target gets no new work."},
	{BoxGone, "boxGone", Info, "A box was removed from the box list."},
	{BoxListFailed, "boxListFailed", Warning, "The box list could not be read; the last one that was read stays in use."},
	{TargetLeaving, "targetLeaving", Info, "An operator's order to drain a target is applied in this daemon."},
	{TargetReturning, "targetReturning", Info, "An operator's order to drain a target was withdrawn."},
	{TargetSuspect, "targetSuspect", Warning, "A target did not respond, and gets no new work until it responds again; or its entry contradicts what it said."},
	{TargetHealthy, "targetHealthy", Info, "A suspected target responds again."},
	{DomainEvacuated, "domainEvacuated", Warning, "Operators have ordered the evacuation of a failure domain: its targets get no requests; the resource names it."},
	{DomainReturned, "domainReturned", Info, "An evacuation was withdrawn; the failure domain's targets get few requests until they have warmed up."},
	{TargetEnded, "targetEnded", Warning, "An incarnation of a target crashed while it processed requests of this daemon; the text has the number of these requests, and what the first of them ask, of which organisation, with the shared parts of their prompts."},
	{TargetSaysLeaving, "targetSaysLeaving", Info, "An incarnation of a target reported in a response that it is shutting down, and gets no new work whatever its list entry says; the text says whether this daemon or a peer received the response."},
	{TargetRests, "targetRests", Info, "A target rejected a request of this daemon with Retry-After and is under pushback: it gets no requests for the time in the text. At most one line per second and target."},
	{TargetRested, "targetRested", Info, "A target that was under pushback has accepted a request of this daemon again."},
	{TargetUnreadable, "targetUnreadable", Warning, "A target sent pushback or a rate limit that cannot be parsed, which is ignored; one line for each incarnation."},
	{TargetLimits, "targetLimits", Info, "An incarnation of a target reported a rate limit, shared by all daemons, or changed it; the text has the rate and says whether this daemon or a peer received the response. At most one line per second and target."},
	{TargetUnlimited, "targetUnlimited", Info, "An incarnation of a target no longer reports a rate limit. At most one line about rate limits per second and target."},
	{ConnectionReplaced, "connectionReplaced", Info, "A connection carried nothing any more although nobody had closed it, and another one has replaced it; the text has the other end and the time without a response."},
	{TargetsUnreachable, "targetsUnreachable", Warning, "Nothing arrives at this daemon from any target; connections are opened through other boxes."},
	{TargetsReachable, "targetsReachable", Info, "A direct connection to a target works again."},
	{TargetBrittle, "targetBrittle", Info, "An incarnation of a target reported how many requests a second it may reject for want of room before it fails, whichever daemons sent them; the text has the number and says whether this daemon or a peer received the response. At most one line per second and target."},
	{TargetNotBrittle, "targetNotBrittle", Info, "An incarnation of a target no longer reports a limit on rejections. At most one line about it per second and target."},
	{ConnectionEnded, "connectionEnded", Info, "The daemon ended a client's connection; the text has the listener, the client's address and the reason: unfinished, idle or noBody (its place was needed), full, headTooLong or noMemory. At most ten lines a second for each listener; the metrics count all."},

	{ConfApplied, "confApplied", Debug, "A configuration change was applied by this daemon."},
	{ConfWritten, "confWritten", Info, "A configuration change was committed through this daemon."},
	{ConfRejected, "confRejected", Info, "A configuration change was rejected; nothing was changed."},
	{ConfUnknown, "confUnknown", Warning, "The response to a configuration write was lost, and reading back has not yet shown whether it was committed."},
	{ConfResynced, "confResynced", Info, "The full configuration was read and applied, from the coordination store or from a peer."},
	{ConfStale, "confStale", Warning, "This daemon cannot confirm that its configuration is up to date."},
	{ServiceDown, "serviceDown", Warning, "The coordination store does not respond."},
	{ServiceUp, "serviceUp", Info, "The coordination store responds again."},
	{ConfPending, "confPending", Warning, "A committed change is not yet applied by every live daemon; the text lists those that have not applied it."},
	{ConfUnderived, "confUnderived", Error, "A stored value cannot be decoded, or is none that its writer can mean; the former state stays applied, and a worker is taken off."},
	{PeerNotTold, "peerNotTold", Info, "Changes of the coordination store could not be received from a peer; the text has the peer, the elapsed time and the reason."},
	{ValueFetched, "valueFetched", Info, "A large value was fetched separately; the text has its revision and size, its source and the elapsed time."},
	{RolloutStep, "rolloutStep", Info, "This daemon has moved a rollout to its next phase; the resource is the service, the text has the phase, the version and the reason."},
	{ListShardTaken, "listShardTaken", Info, "This daemon caches another shard of the list of targets than before; the text has the peer that sent it, the cell and the number of entries."},
	{ConfDropped, "confDropped", Info, "A received copy of the coordination store's data was older than the cached data and was discarded; the text has both revisions."},
	{ServiceRestored, "serviceRestored", Warning, "The coordination store was restored from an older copy; the text has the store incarnation and revision of the copy, and the highest revision seen before: what was written after the copy was made is lost until its writers write it again."},
	{ValueInForce, "valueInForce", Warning, "The coordination store has an older value than the one that a peer has applied; the text has the version taken from the peer."},
	{WeightsNamed, "weightsNamed", Info, "This daemon received a version of the weights that operators want; or a peer has dated one; the text says up to when this daemon was current without it, or what the peer knows."},

	{RequestAccepted, "requestAccepted", Debug, "A caller's request was authenticated and read."},
	{RequestPlaced, "requestPlaced", Info, "A target was chosen; the text has the reasons and the candidates that were compared."},
	{RequestDone, "requestDone", Info, "The full response was sent to the caller."},
	{RequestRefused, "requestRefused", Info, "The request was refused; the text has the code and whether the request ran."},
	{RequestRetried, "requestRetried", Warning, "The chosen target failed before its response began; another one is chosen."},
	{StreamResumed, "streamResumed", Warning, "A broken stream continues after the last token that was delivered."},
	{StreamBroken, "streamBroken", Warning, "A stream could not be resumed and was ended with an explicit error."},
	{CallerGone, "callerGone", Info, "The caller closed its connection; the request is cancelled at the target."},
	{AnswerRejected, "answerRejected", Error, "A target's response names another request or weights version, or no request, or contradicts itself; it was discarded."},
	{RequestSuspected, "requestSuspected", Warning, "Two incarnations of targets crashed while they processed the same request; the text has the request digest and the incarnations."},
	{RequestBlocked, "requestBlocked", Error, "A request is no longer sent, because incarnations of targets crash under it; the text has the request digest, the parts if all prompts that hold them are blocked, how long, how often so far, and the crashes or the daemon that reported it."},
	{RequestReleased, "requestReleased", Info, "A blocked request may be sent again; the text has the reason."},

	{ContextImported, "contextImported", Info, "KV-cache blocks were read from a KV-cache store into a worker and passed their checks."},
	{ImportRejected, "importRejected", Warning, "Blocks read from a KV-cache store failed their checks; they are recomputed."},
	{ContextExported, "contextExported", Info, "Blocks were written to a KV-cache store and committed by a manifest."},
	{ExportFailed, "exportFailed", Warning, "An export did not finish; no manifest refers to its blocks."},
	{CacheGap, "cacheGap", Warning, "A worker's cache events have a gap; nothing recorded before it is trusted."},
	{CacheResynced, "cacheResynced", Info, "The contents of a worker's cache were read again."},
	{StoreReclaimed, "storeReclaimed", Info, "A full KV-cache store evicted cached contexts."},

	{ClaimGranted, "claimGranted", Debug, "A call with an idempotency key may run; its claim is committed."},
	{ClaimRefused, "claimRefused", Info, "A call with an idempotency key may not run; the text has the reason."},
	{ClaimAnswered, "claimAnswered", Debug, "A repeated call received the recorded outcome of the first one."},
	{ShardTaken, "shardTaken", Info, "This daemon owns a shard of claims."},
	{ShardLost, "shardLost", Warning, "Another daemon owns a shard of claims that this one owned."},
	{ClaimUnsettled, "claimUnsettled", Warning, "The response to a claim write was lost; none of its claims is granted until the write's outcome is known."},
	{CallSent, "callSent", Debug, "A call that must not be repeated was sent to a target."},
	{CallUnknown, "callUnknown", Warning, "A call that must not be repeated was interrupted; whether it ran is unknown."},

	{LeaseTaken, "leaseTaken", Info, "This daemon has acquired a lease; the text has its name and epoch."},
	{LeaseLost, "leaseLost", Warning, "A lease of this daemon was released or found to have passed to another daemon."},
	{OrderSent, "orderSent", Info, "An order with a fencing token was sent to a worker."},
	{OrderDone, "orderDone", Info, "A worker reports that it has reached the ordered state."},
	{OrderRejected, "orderRejected", Warning, "A worker or the coordination store rejected an order, for example for its fencing token."},
	{OrderDeferred, "orderDeferred", Debug, "An order waits: as many workers as allowed are loading weights, or an order of the former lease holder may still reach a worker that checks no fencing tokens."},
}

// Catalogue returns a copy of the entries of all events, ordered by code.
func Catalogue() []Entry {
	return append([]Entry(nil), catalogue...)
}

var byCode = func() map[Code]Entry {
	m := make(map[Code]Entry, len(catalogue))
	for _, e := range catalogue {
		m[e.Code] = e
	}
	return m
}()
