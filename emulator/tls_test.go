package emulator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/emulator"
)

// writeCertificate writes a new certificate with the given serial number and its
// key. The modification time of the files rises with the serial number, since
// the daemon reloads a certificate when its modification time has changed.
func writeCertificate(t *testing.T, files configurer.TLS, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "heatherhall"},
		NotAfter:     time.Now().Add(time.Hour),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	modified := time.Now().Add(time.Duration(serial) * time.Minute)
	for path, block := range map[string]*pem.Block{
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: private},
		files.Certificate: {Type: "CERTIFICATE", Bytes: certificate},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
}

// certificateSerial connects with TLS and returns the serial number of the
// server's certificate.
func certificateSerial(t *testing.T, address string) int64 {
	t.Helper()
	config, err := pgconn.ParseConfig("postgres://coop:" + password + "@" + address + "/db0?sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	got := int64(0)
	config.TLSConfig.VerifyPeerCertificate = func(raw [][]byte, _ [][]*x509.Certificate) error {
		certificate, err := x509.ParseCertificate(raw[0])
		if err == nil {
			got = certificate.SerialNumber.Int64()
		}
		return err
	}
	conn, err := pgconn.ConnectConfig(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close(context.Background()) }()
	if _, err := conn.Exec(context.Background(), "SELECT 1").ReadAll(); err != nil {
		t.Error(err)
	}
	return got
}

// TestCertificateReload checks that a daemon serves a changed certificate
// without a restart, and keeps the last valid one if the new file can't be
// parsed.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	files := configurer.TLS{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	writeCertificate(t, files, 1)
	e := start(t, 27, func(o *emulator.Options) {
		o.ChangeSettings = func(s *configurer.Settings) { s.TLS = &files }
	})
	if got := certificateSerial(t, e.Daemons[0].Address); got != 1 {
		t.Errorf("serial number %d, want 1", got)
	}
	writeCertificate(t, files, 2)
	if got := certificateSerial(t, e.Daemons[0].Address); got != 2 {
		t.Errorf("after a change: serial number %d, want 2", got)
	}
	if err := os.WriteFile(files.Certificate, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := certificateSerial(t, e.Daemons[0].Address); got != 2 {
		t.Errorf("with a broken file: serial number %d, want 2", got)
	}
}
