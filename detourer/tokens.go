package detourer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/limiter"
)

// Methods of a link for rate limits. An older daemon rejects them.
const (
	// methodTokens asks the coordinator of accounts for tokens.
	methodTokens = "tokens"
	// methodDemand tells another coordinator the demand of accounts.
	methodDemand = "demand"
)

// limitsTimeout is the timeout of a message about rate limits. Later answers are of no
// use.
const limitsTimeout = 250 * time.Millisecond

// LimitHandler holds the functions that serve other daemons' messages about rate
// limits.
type LimitHandler struct {
	Tokens func(request limiter.TokensRequest) limiter.TokensAnswer
	Demand func(request limiter.DemandRequest) limiter.DemandAnswer
}

// handleLimits serves a message about rate limits on a link. An invalid one ends the
// connection.
func (c *peerConn) handleLimits(r *jsonrpc2.Request) (any, error) {
	c.expiry.Reset(linkIdleTimeout)
	if r.Method == methodTokens {
		var request limiter.TokensRequest
		if err := json.Unmarshal(*r.Params, &request); err != nil || request.Validate() != nil {
			return c.rejectLimits()
		}
		return c.Limits.Tokens(request), nil
	}
	var request limiter.DemandRequest
	if err := json.Unmarshal(*r.Params, &request); err != nil || request.Validate() != nil {
		return c.rejectLimits()
	}
	return c.Limits.Demand(request), nil
}

func (c *peerConn) rejectLimits() (any, error) {
	c.expiry.Reset(0)
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "invalid"}
}

// Tokens asks the coordinator at an address for tokens.
func (l *Links) Tokens(ctx context.Context, address string, request limiter.TokensRequest) (limiter.TokensAnswer, error) {
	var answer limiter.TokensAnswer
	if err := l.callLimits(ctx, address, methodTokens, request, &answer); err != nil {
		return limiter.TokensAnswer{}, err
	}
	return answer, answer.Validate()
}

// Demand sends the demand of accounts to the daemon at an address.
func (l *Links) Demand(ctx context.Context, address string, request limiter.DemandRequest) (limiter.DemandAnswer, error) {
	var answer limiter.DemandAnswer
	if err := l.callLimits(ctx, address, methodDemand, request, &answer); err != nil {
		return limiter.DemandAnswer{}, err
	}
	return answer, answer.Validate()
}

func (l *Links) callLimits(ctx context.Context, address, method string, request, answer any) error {
	call, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	conn, err := l.get(call, address)
	if err != nil {
		return err
	}
	if err := conn.rpc.Call(call, method, request, answer); err != nil {
		return &Error{Op: method, Kind: KindConnection, Text: err.Error()}
	}
	return nil
}
