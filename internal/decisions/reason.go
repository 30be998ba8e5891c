package decisions

import "boragefall/internal/verdict"

// meaningByReason describes each reason that a node on the platform can give.
var meaningByReason = map[verdict.Reason]string{
	verdict.ReasonOverloaded:     "all slots were taken and the request would have been late",
	verdict.ReasonCold:           "the server had just started, or was not heard of yet",
	verdict.ReasonLeaving:        "the server drains, its data centre is taken out, or its node stops",
	verdict.ReasonLacksResource:  "no server of the service was known, another one listens there now, or there was no configuration yet",
	verdict.ReasonUnreachable:    "there was no connection to the node or the server",
	verdict.ReasonConnectionLost: "a connection broke after the request was sent",
	verdict.ReasonCutAnswer:      "the answer ended early",
	verdict.ReasonServerRefused:  "the server itself did not run it",
	verdict.ReasonDeadline:       "the caller's time or the route's timeout was over",
	verdict.ReasonCanceled:       "the caller left",
	verdict.ReasonQuarantined:    "this request broke off several servers before",
	verdict.ReasonFenced:         "the entry barred the request after it lost its link",
	verdict.ReasonNoRoute:        "no route matches host and path",
	verdict.ReasonBodyTooLarge:   "the body is over the configuration's limit",
	verdict.ReasonBadRequest:     "the request is malformed, or its body broke off",
	verdict.ReasonRetryBudget:    "no repeat was left",
	verdict.ReasonUnauthorized:   "no workspace of the configuration in force holds the key",
	verdict.ReasonStaleConfig:    "the node's copy of the configuration may be out of date, so it can't tell whether the key or the route is valid",
	verdict.ReasonOverQuota:      "the workspace had used up its quota",
	verdict.ReasonQuotaUnknown:   "none of the nodes that keep the workspace's quota answered",
}

// Meaning describes a reason found in a log. It returns "" for a reason that nodes on
// the platform do not give.
func Meaning(reason string) string {
	for known, text := range meaningByReason {
		if known.String() == reason {
			return text
		}
	}
	return ""
}
