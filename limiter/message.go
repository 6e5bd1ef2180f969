package limiter

import (
	"math"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// maxItems and maxCount bound a message of another daemon.
const (
	maxItems = 20_000
	maxCount = 1_000_000
)

// TokensRequest asks a coordinator for tokens.
type TokensRequest struct {
	// Number tells the requester which of its requests is answered.
	Number uint64 `json:"number"`
	Shard  int    `json:"shard"`
	// Domain is that of a coordinator that asks another domain's for tokens; empty if a
	// gateway asks its own.
	Domain string `json:"domain,omitempty"`
	// From is the gateway that asks.
	From  string       `json:"from,omitempty"`
	Items []TokensItem `json:"items"`
}

// TokensItem asks for the tokens of one account.
type TokensItem struct {
	Account string `json:"account"`
	// Need is how many operations wait, and Ahead how many tokens the gateway wants for
	// operations that it expects.
	Need  int `json:"need,omitempty"`
	Ahead int `json:"ahead,omitempty"`
	// Demand is how many operations have arrived since the last request, and Charged how
	// many runs were repeated.
	Demand  int `json:"demand,omitempty"`
	Charged int `json:"charged,omitempty"`
}

// TokensAnswer is a coordinator's answer to a TokensRequest.
type TokensAnswer struct {
	// Unavailable says that the daemon grants no tokens now. Host and Address then name
	// the daemon that does, if it is known.
	Unavailable bool          `json:"unavailable,omitempty"`
	Host        string        `json:"host,omitempty"`
	Address     string        `json:"address,omitempty"`
	Items       []TokensGrant `json:"items,omitempty"`
}

// TokensGrant grants the tokens of one account.
type TokensGrant struct {
	Account string `json:"account"`
	// Granted is how many operations that wait may run, after Wait, and Ahead how many
	// tokens there are for expected ones.
	Granted int               `json:"granted,omitempty"`
	Wait    timekeeper.Millis `json:"wait,omitempty"`
	Ahead   int               `json:"ahead,omitempty"`
	// Again is set if the coordinator looks for more tokens: the gateway is to ask again
	// after that time for the operations that still wait.
	Again timekeeper.Millis `json:"again,omitempty"`
	// Retry is when the next token is due if there were too few, and Spread the time
	// over which refused operations should return.
	Retry  timekeeper.Millis `json:"retry,omitempty"`
	Spread timekeeper.Millis `json:"spread,omitempty"`
}

// DemandRequest tells the coordinator of another domain an account's demand and the
// part of its rate that it may use. With Ping it asks the coordinator of the same domain
// for a sign of life.
type DemandRequest struct {
	From   string `json:"from"`
	Domain string `json:"domain"`
	Shard  int    `json:"shard"`
	Epoch  int64  `json:"epoch"`
	// Claim marks a message of a coordinator to its deputy that does not call. Address is
	// the sender's.
	Claim   bool   `json:"claim,omitempty"`
	Address string `json:"address,omitempty"`
	// Watch marks a message of a daemon that follows the deputy in the order.
	Watch bool `json:"watch,omitempty"`
	// Ping marks a message of the deputy, and Granting says that it grants tokens.
	Ping     bool `json:"ping,omitempty"`
	Granting bool `json:"granting,omitempty"`
	// Resigned says that the sender is the deputy no longer, and Leaving that it ends.
	Resigned bool `json:"resigned,omitempty"`
	Leaving  bool `json:"leaving,omitempty"`
	// Want asks for the coordinator's state, and Known is the number of the last state
	// that the deputy got.
	Want  bool  `json:"want,omitempty"`
	Known int64 `json:"known,omitempty"`
	// Handover says that the deputy was the coordinator before, and State what it knew.
	Handover bool         `json:"handover,omitempty"`
	State    []StateEntry `json:"state,omitempty"`
	// Number increases with each message. Heard is the number of the last message from
	// the receiver's domain, and HeardEpoch that of its sender.
	Number     int64         `json:"number"`
	Heard      int64         `json:"heard,omitempty"`
	HeardEpoch int64         `json:"run,omitempty"`
	Entries    []DemandEntry `json:"entries,omitempty"`
}

// DemandEntry is what a coordinator tells another about an account.
type DemandEntry struct {
	Account string `json:"account"`
	// Demand is in operations a second. Gift is the part of the rate that the receiver's
	// domain may use of the sender's, and Uses what the sender uses of the receiver's.
	Demand float64 `json:"demand,omitempty"`
	Gift   float64 `json:"gift,omitempty"`
	Uses   float64 `json:"uses,omitempty"`
}

// DemandAnswer answers a DemandRequest. The answer to a ping holds what the deputy
// needs to take over if Full, the state's number, is set.
type DemandAnswer struct {
	State []StateEntry `json:"state,omitempty"`
	Full  int64        `json:"full,omitempty"`
	// Host and Address name the coordinator that the daemon knows of.
	Host    string `json:"host,omitempty"`
	Address string `json:"address,omitempty"`
	// Leaving says that the coordinator ends.
	Leaving bool `json:"leaving,omitempty"`
}

// StateEntry is what passes between an account's coordinator and a domain.
type StateEntry struct {
	Account string  `json:"account"`
	Domain  string  `json:"domain"`
	Given   float64 `json:"given,omitempty"`
	Held    float64 `json:"held,omitempty"`
	Demand  float64 `json:"demand,omitempty"`
}

func invalid(op, text string) error {
	return &Error{Op: op, Kind: KindInvalid, Text: text}
}

// fraction reports whether a number is a part of a rate.
func fraction(f float64) bool {
	return f >= 0 && f <= 1
}

func count(n int) bool {
	return n >= 0 && n <= maxCount
}

// Validate returns an Error of KindInvalid if the request makes no sense.
func (r TokensRequest) Validate() error {
	const op = "decode request for tokens"
	if r.Shard < 0 || len(r.Items) > maxItems {
		return invalid(op, "shard or items: out of range")
	}
	for _, i := range r.Items {
		if i.Account == "" || !count(i.Need) || !count(i.Ahead) || !count(i.Demand) || !count(i.Charged) {
			return invalid(op, "items: out of range")
		}
	}
	return nil
}

// Validate returns an Error of KindInvalid if the answer makes no sense.
func (a TokensAnswer) Validate() error {
	const op = "decode answer with tokens"
	if len(a.Items) > maxItems {
		return invalid(op, "items: too many")
	}
	for _, i := range a.Items {
		if !count(i.Granted) || !count(i.Ahead) || !count(int(i.Wait)) || !count(int(i.Retry)) || !count(int(i.Spread)) || !count(int(i.Again)) {
			return invalid(op, "items: out of range")
		}
	}
	return nil
}

// Validate returns an Error of KindInvalid if the message makes no sense.
func (r DemandRequest) Validate() error {
	const op = "decode demand"
	if r.From == "" || r.Shard < 0 || len(r.Entries) > maxItems {
		return invalid(op, "from, shard or entries: out of range")
	}
	for _, e := range r.Entries {
		if e.Account == "" || !(e.Demand >= 0) || math.IsInf(e.Demand, 0) || !fraction(e.Gift) || !fraction(e.Uses) {
			return invalid(op, "entries: out of range")
		}
	}
	return validateState(op, r.State)
}

// Validate returns an Error of KindInvalid if the answer makes no sense.
func (a DemandAnswer) Validate() error {
	return validateState("decode answer to demand", a.State)
}

func validateState(op string, state []StateEntry) error {
	if len(state) > maxItems {
		return invalid(op, "state: too many")
	}
	for _, e := range state {
		if e.Account == "" || !fraction(e.Given) || !fraction(e.Held) || !(e.Demand >= 0) || math.IsInf(e.Demand, 0) {
			return invalid(op, "state: out of range")
		}
	}
	return nil
}
