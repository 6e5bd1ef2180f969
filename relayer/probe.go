package relayer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"net"

	"github.com/heatherhall/heatherhall/watcher"
)

// datagramLimit bounds the size of a probe in bytes.
const datagramLimit = 8 << 10

// SendPacket sends a datagram, which may be lost.
func (r *Relayer) SendPacket(send watcher.Envelope) {
	address, err := net.ResolveUDPAddr("udp", send.To.Address)
	if err != nil {
		return
	}
	data, err := json.Marshal(send.Message)
	if err != nil {
		return
	}
	datagram := append(r.sum(data), data...)
	r.sent.Add(int64(len(datagram)))
	_, _ = r.packets.WriteTo(datagram, address)
}

// receive takes datagrams until the socket is closed. Those that are not signed
// with the secret are dropped.
func (r *Relayer) receive() {
	buffer := make([]byte, datagramLimit)
	for {
		n, _, err := r.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if n < sha256.Size {
			continue
		}
		data := buffer[sha256.Size:n]
		if !hmac.Equal(r.sum(data), buffer[:sha256.Size]) {
			continue
		}
		var m watcher.Message
		if json.Unmarshal(data, &m) == nil {
			r.handlers.PacketReceived(m)
		}
	}
}
