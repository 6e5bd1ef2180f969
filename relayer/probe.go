package relayer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"net"

	"github.com/heatherhall/heatherhall/watcher"
)

// maxDatagramSize is the maximum size in bytes of a received gossip packet.
const maxDatagramSize = 8 << 10

// SendPacket sends a gossip packet as a UDP datagram, preceded by its HMAC. It
// does not report whether the packet was sent or arrives.
func (r *Relayer) SendPacket(envelope watcher.Envelope) {
	address, err := net.ResolveUDPAddr("udp", envelope.To.Address)
	if err != nil {
		return
	}
	data, err := json.Marshal(envelope.Message)
	if err != nil {
		return
	}
	datagram := append(r.computeMAC(data), data...)
	r.sentBytes.Add(int64(len(datagram)))
	_, _ = r.packets.WriteTo(datagram, address)
}

// receivePackets passes gossip packets to the handler until the socket is closed.
// It drops packets whose HMAC was not made with the secret.
func (r *Relayer) receivePackets() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := r.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if n < sha256.Size {
			continue
		}
		data := buffer[sha256.Size:n]
		if !hmac.Equal(r.computeMAC(data), buffer[:sha256.Size]) {
			continue
		}
		var m watcher.Message
		if json.Unmarshal(data, &m) == nil {
			r.handlers.PacketReceived(m)
		}
	}
}
