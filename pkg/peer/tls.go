package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

// serverName is the name in every host's certificate. Peers are authenticated by the signing
// authority or the certificate fingerprint, not by name.
const serverName = "tealvane-peer"

const alpn = "tealvane/1"

const certValidity = 30 * 24 * time.Hour

// TLSConfig returns the TLS configuration of a host. Both sides of a connection must present a
// certificate signed by one of roots.
func TLSConfig(cert tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		NextProtos:   []string{alpn},
		MinVersion:   tls.VersionTLS13,
	}
}

// DevIdentity is a certificate authority and one certificate for all hosts, as PEM. It is for
// development only.
type DevIdentity struct {
	CA, Cert, Key []byte
}

// NewDevIdentity generates a certificate authority and a certificate.
func NewDevIdentity(now time.Time) (DevIdentity, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return DevIdentity{}, err
	}
	ca := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		Subject:               pkix.Name{CommonName: "tealvane development authority"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(certValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return DevIdentity{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return DevIdentity{}, err
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano() + 1),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    ca.NotBefore,
		NotAfter:     ca.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return DevIdentity{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return DevIdentity{}, err
	}
	return DevIdentity{
		CA:   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: caDER}),
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: leafDER}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// TLS returns the TLS configuration for the identity.
func (d DevIdentity) TLS() (*tls.Config, error) {
	cert, err := tls.X509KeyPair(d.Cert, d.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load development certificate")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(d.CA)
	return TLSConfig(cert, roots), nil
}

// Fingerprint is the SHA-256 digest of a host's certificate.
type Fingerprint [sha256.Size]byte

// SelfSigned generates a key and a self-signed certificate for one incarnation of a host.
// Other hosts read its fingerprint from the platform's store.
func SelfSigned(now time.Time) (tls.Certificate, Fingerprint, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, Fingerprint{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    now.Add(-certValidity),
		NotAfter:     now.Add(certValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, Fingerprint{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, sha256.Sum256(der), nil
}

// PinnedTLS returns the TLS configurations to dial and to listen for a host that identifies
// its peers by certificate fingerprint. Dialing requires a known host. Listening accepts any
// certificate, since a host may connect before its entry is stored; Request.Known reports
// whether the sender is known. Validity dates are ignored because the clock of a host may
// jump.
func PinnedTLS(cert tls.Certificate, isKnown func(Fingerprint) bool) (dial, listen *tls.Config) {
	dial = &tls.Config{
		Certificates: []tls.Certificate{cert},
		// There is no certificate authority. VerifyPeerCertificate checks the fingerprint, and
		// the handshake proves possession of the key.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			if len(raw) == 0 || !isKnown(sha256.Sum256(raw[0])) {
				return errors.New("unknown peer certificate")
			}
			return nil
		},
		ServerName: serverName,
		NextProtos: []string{alpn},
		MinVersion: tls.VersionTLS13,
	}
	listen = &tls.Config{
		Certificates:           []tls.Certificate{cert},
		ClientAuth:             tls.RequireAnyClientCert,
		NextProtos:             []string{alpn},
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
	}
	return dial, listen
}
