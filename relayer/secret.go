package relayer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// challenge is what a server says first.
type challenge struct {
	Version int    `json:"version"`
	Nonce   string `json:"nonce"`
}

// hello proves the client's knowledge of the secret.
type hello struct {
	Name  string `json:"name"`
	Nonce string `json:"nonce"`
	Proof string `json:"proof"`
}

// welcome proves the server's.
type welcome struct {
	Name  string `json:"name"`
	Proof string `json:"proof"`
}

func newNonce() string {
	return rand.Text()
}

func (r *Relayer) proof(name, nonce string) string {
	return hex.EncodeToString(r.sum([]byte(name + "\x00" + nonce)))
}

func (r *Relayer) proves(name, nonce, proof string) bool {
	return hmac.Equal([]byte(r.proof(name, nonce)), []byte(proof))
}

func (r *Relayer) sum(data []byte) []byte {
	mac := hmac.New(sha256.New, r.secret)
	_, _ = mac.Write(data)
	return mac.Sum(nil)
}

// frameLimit bounds the size of one message in bytes.
const frameLimit = 32 << 20

// codec frames messages by their length in four bytes, most significant first.
type codec struct {
	// sent counts the bytes written.
	sent *atomic.Int64
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c codec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > frameLimit {
		return &Error{Op: "write", Kind: KindProtocol, Err: errors.Errorf("a message of %d bytes is too large", len(data))}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	c.sent.Add(int64(len(data) + len(frame)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, object any) error {
	var head [4]byte
	if _, err := io.ReadFull(stream, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > frameLimit {
		return &Error{Op: "read", Kind: KindProtocol, Err: errors.Errorf("a message of %d bytes is too large", size)}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, object)
}
