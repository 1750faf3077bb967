package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"crocusnotch/internal/keyring"
	"crocusnotch/internal/routing"
)

const (
	// Lengths of a stateless reset, which looks like a packet with a short
	// header, and of the token at its end, in bytes.
	maxResetSize   = 42
	minResetSize   = 21
	resetTokenSize = 16
	// shortHeader is the value of the fixed bits in a short header's first byte;
	// shortMask selects the random ones.
	shortHeader = 0x40
	shortMask   = 0x3f
)

// errNoKeys is returned before the agent has received its keys.
var errNoKeys = errors.New("agent: no keys yet")

// tokenSource generates owner tokens as the connection IDs of new flows. It
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
		return quic.ConnectionID{}, errNoKeys
	}
	token.Nonce = t.nonce.Add(1)
	var b [routing.TokenSize]byte
	return quic.ConnectionIDFromBytes(routing.AppendToken(b[:0], ring, token)), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (t *tokenSource) ConnectionIDLen() int { return routing.TokenSize }

// statelessReset returns a reset of the given size for a connection ID (RFC 9000,
// section 10.3) with the token that the QUIC transport derives from the key.
func statelessReset(key [32]byte, id []byte, size int) []byte {
	mac := hmac.New(sha256.New, key[:])
	_, _ = mac.Write(id)
	b := make([]byte, size-resetTokenSize, size)
	_, _ = rand.Read(b)
	b[0] = b[0]&shortMask | shortHeader
	return append(b, mac.Sum(nil)[:resetTokenSize]...)
}
