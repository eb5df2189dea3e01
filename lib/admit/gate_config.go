package admit

import "time"

// MaxRank is the least urgent rank of a request; 0 is the most urgent one.
const MaxRank = 9

const (
	// gateWindow is the time constant of the counts that a Gate compares. It is longer than
	// a burst of one team and short against a rise of the load.
	gateWindow = 3 * time.Second
	// minShare is the smallest share of the limit that ranks are reduced to. Engines near it
	// are not full, and a smaller one only prolongs the recovery.
	minShare = 0.7
	// maxLateShare is the largest share of the limit for requests that cannot meet their latency
	// target any more. Engines beyond half of the limit have requests that wait, and late ones
	// would make others late.
	maxLateShare = 0.5
	// maxDecrease is the largest relative decrease of a share for one refusal. With this and
	// the next four constants, a simulation of 11 engines at 0.95 to 2 times their load refused
	// 1 to 7 % of the most urgent of three ranks; smaller steps left less room for it between
	// two of its refusals.
	maxDecrease = 0.15
	// refusalGain relates the decrease for one refusal to the requests per second of the
	// refused rank, so that the shares settle at the same part of refused requests in a large
	// fleet as in a small one.
	refusalGain = 16
	// minWaitShare is the share of the limit below which requests are refused at once instead of
	// waiting. More urgent ones are refused then, and these would be served late or not at all.
	minWaitShare = 0.6
	// rankRecovery and teamRecovery are the times after which a share is complete again at the
	// latest, from the last refusal that has reduced it. With three seconds, the least urgent
	// rank was refused after a burst in places that nobody used. Teams are compared by their
	// use over gateWindow.
	rankRecovery = time.Second
	teamRecovery = gateWindow
	// starvedRatio is the share of a rank's requests that are admitted, relative to that of
	// all requests, below which the full limit applies to the rank.
	starvedRatio = 0.5
	// maxTeams bounds the teams of one rank with state. When it is reached, the state of the
	// team that has been idle for longest is dropped.
	maxTeams = 256
	// minRetryAfter is the shortest retry delay of a refusal, and maxGateRetryAfter the
	// longest one for requests without a time limit.
	minRetryAfter     = 100 * time.Millisecond
	maxGateRetryAfter = 2 * time.Second
	// retryAfterShare limits the retry delay to a part of the time that the request has left.
	// Callers do not wait longer than a third of it, and have less of it left when the refusal
	// arrives.
	retryAfterShare = 0.33
	// unavailableSpread is the part of the longest retry delay over which callers are spread that
	// no server can take for a while. They came one after another and return so; with a quarter,
	// they returned half a second before engines had weights and were refused again.
	unavailableSpread = 0.05
	// returnShare is the share of the admitted requests that refused callers may add when
	// they return. It determines the interval over which they are spread.
	returnShare = 0.25
	// returnSpreadShare limits that interval to a part of the latency limit, so that callers come
	// back while they can still be answered in time. With up to two seconds, 700 of 14,600 were
	// answered late instead.
	returnSpreadShare = 0.5
	// minAdmitted is the smallest rate of admitted requests, per second, that the interval is
	// derived from: a rare refusal needs no spread.
	minAdmitted = 10
)
