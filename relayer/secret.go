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

// challenge is the accepting daemon's response to the first request on a
// connection. The connecting daemon's proof of the secret is an HMAC that covers
// the nonce.
type challenge struct {
	Version int    `json:"version"`
	Nonce   string `json:"nonce"`
}

// hello holds the connecting daemon's proof of the secret, and a nonce that the
// accepting daemon's proof covers.
type hello struct {
	Name  string `json:"name"`
	Nonce string `json:"nonce"`
	Proof string `json:"proof"`
}

// welcome holds the accepting daemon's proof of the secret.
type welcome struct {
	Name  string `json:"name"`
	Proof string `json:"proof"`
}

func newNonce() string {
	return rand.Text()
}

// proof returns a daemon's proof that it knows the secret: the HMAC of its name
// and of the nonce from the daemon that checks the proof.
func (r *Relayer) proof(name, nonce string) string {
	return hex.EncodeToString(r.computeMAC([]byte(name + "\x00" + nonce)))
}

// checkProof reports whether a proof was made with the secret for a name and
// nonce.
func (r *Relayer) checkProof(name, nonce, proof string) bool {
	return hmac.Equal([]byte(r.proof(name, nonce)), []byte(proof))
}

// computeMAC returns the HMAC-SHA256 of the data under the shared secret.
func (r *Relayer) computeMAC(data []byte) []byte {
	mac := hmac.New(sha256.New, r.secret)
	_, _ = mac.Write(data)
	return mac.Sum(nil)
}

// maxFrameSize is the maximum size of one message in bytes.
const maxFrameSize = 32 << 20

// codec encodes messages as JSON, each preceded by its length in bytes as a
// 32-bit big-endian number.
type codec struct {
	// sentBytes counts the bytes written.
	sentBytes *atomic.Int64
}

// WriteObject implements jsonrpc2.ObjectCodec. It refuses messages above
// maxFrameSize.
func (c codec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > maxFrameSize {
		return &Error{Op: "write", Kind: KindProtocol, Err: errors.Errorf("a message of %d bytes is too large", len(data))}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	c.sentBytes.Add(int64(len(data) + len(frame)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. It refuses messages above
// maxFrameSize.
func (codec) ReadObject(stream *bufio.Reader, object any) error {
	var head [4]byte
	if _, err := io.ReadFull(stream, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrameSize {
		return &Error{Op: "read", Kind: KindProtocol, Err: errors.Errorf("a message of %d bytes is too large", size)}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, object)
}
