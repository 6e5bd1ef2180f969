package runner

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// certReloader holds a TLS certificate and reloads it when the modification time
// of its file has changed.
type certReloader struct {
	certFile string
	keyFile  string

	mu     sync.Mutex
	loaded *tls.Certificate
	// modTime is the file's modification time when it was loaded.
	modTime time.Time
}

// tlsConfig returns the TLS configuration for clients, or nil if TLS is not
// configured. It returns an error if the certificate can't be loaded.
func (r *Runner) tlsConfig() (*tls.Config, error) {
	if r.settings.TLS == nil {
		return nil, nil
	}
	c := &certReloader{certFile: r.settings.TLS.Certificate, keyFile: r.settings.TLS.Key}
	if _, err := c.get(nil); err != nil {
		return nil, &Error{Op: "tls", Kind: KindStart, Err: err}
	}
	return &tls.Config{GetCertificate: c.get, MinVersion: tls.VersionTLS12}, nil
}

// get returns the current certificate. If a changed file can't be loaded, it
// returns the last certificate that was loaded.
func (c *certReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certFile)
	if err == nil && c.loaded != nil && info.ModTime().Equal(c.modTime) {
		return c.loaded, nil
	}
	loaded, loadErr := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if loadErr != nil {
		if c.loaded != nil {
			return c.loaded, nil
		}
		return nil, loadErr
	}
	c.loaded = &loaded
	if err == nil {
		c.modTime = info.ModTime()
	}
	return c.loaded, nil
}
