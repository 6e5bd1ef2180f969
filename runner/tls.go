package runner

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// certificates reads a certificate again when its file has changed.
type certificates struct {
	certificate string
	key         string

	mu     sync.Mutex
	loaded *tls.Certificate
	stamp  time.Time
}

func (r *Runner) tlsConfig() (*tls.Config, error) {
	if r.settings.TLS == nil {
		return nil, nil
	}
	c := &certificates{certificate: r.settings.TLS.Certificate, key: r.settings.TLS.Key}
	if _, err := c.get(nil); err != nil {
		return nil, &Error{Op: "tls", Kind: KindStart, Err: err}
	}
	return &tls.Config{GetCertificate: c.get, MinVersion: tls.VersionTLS12}, nil
}

// get returns the present certificate. A changed file that can't be read leaves
// the last good one in use.
func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certificate)
	if err == nil && c.loaded != nil && info.ModTime().Equal(c.stamp) {
		return c.loaded, nil
	}
	loaded, loadErr := tls.LoadX509KeyPair(c.certificate, c.key)
	if loadErr != nil {
		if c.loaded != nil {
			return c.loaded, nil
		}
		return nil, loadErr
	}
	c.loaded = &loaded
	if err == nil {
		c.stamp = info.ModTime()
	}
	return c.loaded, nil
}
