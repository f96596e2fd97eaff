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

// serverName stands in every host's certificate. Hosts are replaced at any
// time and known by IP number, so that the authority, not the name, tells a
// peer from a stranger.
const serverName = "tealvane-peer"

const alpn = "tealvane/1"

const devValidity = 30 * 24 * time.Hour

// TLSConfig returns the configuration of a host with its certificate; both
// sides of a connection must present one that roots has signed.
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

// DevIdentity is a certificate authority with one certificate for all hosts,
// for development only.
type DevIdentity struct {
	CA, Cert, Key []byte
}

// NewDevIdentity makes a fresh authority and certificate, as PEM.
func NewDevIdentity(now time.Time) (DevIdentity, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return DevIdentity{}, err
	}
	ca := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		Subject:               pkix.Name{CommonName: "tealvane development authority"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(devValidity),
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

// TLS returns the identity as a configuration.
func (d DevIdentity) TLS() (*tls.Config, error) {
	cert, err := tls.X509KeyPair(d.Cert, d.Key)
	if err != nil {
		return nil, errors.Wrap(err, "development certificate")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(d.CA)
	return TLSConfig(cert, roots), nil
}

// Fingerprint identifies a host's key made at start.
type Fingerprint [sha256.Size]byte

// SelfSigned makes a key and a certificate for one incarnation of a host. Other
// hosts learn its fingerprint from the platform's store.
func SelfSigned(now time.Time) (tls.Certificate, Fingerprint, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, Fingerprint{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    now.Add(-devValidity),
		NotAfter:     now.Add(devValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, Fingerprint{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, sha256.Sum256(der), nil
}

// PinnedTLS returns the configurations to dial and to listen with of a host whose
// peers are known by the fingerprints of their certificates. The dialling side
// talks to known hosts only. The listening side takes any certificate and tells
// by Request.Known whether it is a known host's: one whose entry could not be
// written yet must still learn what it cannot read from the store. The dates in a
// certificate are not looked at: a host's time of day may jump.
func PinnedTLS(cert tls.Certificate, known func(Fingerprint) bool) (dial, listen *tls.Config) {
	dial = &tls.Config{
		Certificates: []tls.Certificate{cert},
		// The chain has no authority; the pinned certificate is checked here and
		// the handshake proves that the peer has its key.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			if len(raw) == 0 || !known(sha256.Sum256(raw[0])) {
				return errors.New("peer is not known by its certificate")
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
