package agent

import (
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"crocusnotch/internal/keyring"
	"crocusnotch/internal/routing"
)

// errNotServing is returned while the agent has no keys.
var errNotServing = errors.New("agent: no keys yet")

// tokenSource makes owner tokens as the connection IDs of new flows. It
// implements quic.ConnectionIDGenerator.
type tokenSource struct {
	token func() (routing.Token, *keyring.Ring)
	nonce atomic.Uint32
}

// GenerateConnectionID returns the next token, signed with the current signing
// generation.
func (t *tokenSource) GenerateConnectionID() (quic.ConnectionID, error) {
	token, ring := t.token()
	if ring == nil {
		return quic.ConnectionID{}, errNotServing
	}
	token.Nonce = t.nonce.Add(1)
	var b [routing.TokenSize]byte
	return quic.ConnectionIDFromBytes(routing.AppendToken(b[:0], ring, token)), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (t *tokenSource) ConnectionIDLen() int { return routing.TokenSize }
