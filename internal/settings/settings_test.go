package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `{
	"host": "esbjerg-1", "data-centre": "esbjerg", "region": "denmark-west",
	"service": "status", "backend": "127.0.0.1:6001",
	"link-listen": "127.0.0.1:7001", "callers-listen": "127.0.0.1:8001",
	"admin-listen": "127.0.0.1:9001", "platform": "http://127.0.0.1:5000",
	"peer": ["127.0.0.1:7002", "127.0.0.1:7003"]
}`

func writeSettingsFile(content string) string {
	path := filepath.Join(GinkgoT().TempDir(), "node.json")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("Read", func() {
	It("applies flags over the settings file", func() {
		s, err := settings.Read("node", []string{"--settings", writeSettingsFile(validSettings), "--service", "ordering"})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Service).To(Equal("ordering"))
		Expect(s.Peers).To(Equal([]string{"127.0.0.1:7002", "127.0.0.1:7003"}))
		Expect(s.DrainLimit.String()).To(Equal("30s"))
	})

	DescribeTable("names the invalid field",
		func(args []string, field string) {
			_, err := settings.Read("node", append([]string{"--settings", writeSettingsFile(validSettings)}, args...))
			Expect(errors.Is(err, settings.ErrInvalidSetting)).To(BeTrue())
			Expect(err.Error()).To(ContainSubstring(field))
		},
		Entry("a host name instead of an IP address", []string{"--backend", "localhost:1"}, "backend"),
		Entry("an unknown log level", []string{"--log-level", "loud"}, "log-level"),
		Entry("a ratio above 1", []string{"--trace-ratio", "2"}, "trace-ratio"),
		Entry("too few descriptors", []string{"--max-fds", "100"}, "max-fds"),
		Entry("an invalid peer address", []string{"--peer", "x"}, "peer"),
	)

	It("accepts fractions for the slack of retries, cold starts and quotas", func() {
		s, err := settings.Read("node", []string{
			"--settings", writeSettingsFile(validSettings), "--retry-slack", "34.6", "--cold-slack", "1.5", "--quota-slack", "3.3",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect([]float64{s.RetrySlack, s.ColdSlack, s.QuotaSlack}).To(Equal([]float64{34.6, 1.5, 3.3}))
	})

	// Guards against a version that does not start after it was rolled back, because the
	// file has a field of the newer version.
	It("names and ignores the unknown fields of the file", func() {
		file := strings.Replace(validSettings, "{", `{"hots": "a", "later": ["x", "y"],`, 1)
		s, err := settings.Read("node", []string{"--settings", writeSettingsFile(file)})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.UnknownFields).To(ContainElements("hots", "later"))
		known, err := settings.Read("node", []string{"--settings", writeSettingsFile(validSettings)})
		Expect(err).NotTo(HaveOccurred())
		Expect(known.UnknownFields).To(BeEmpty())
		s.UnknownFields, s.File, known.File = nil, "", ""
		Expect(s).To(Equal(known))
	})

	It("rejects an unknown flag", func() {
		_, err := settings.Read("node", []string{"--settings", writeSettingsFile(validSettings), "--hots", "a"})
		Expect(errors.Is(err, settings.ErrInvalidSetting)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("hots"))
	})
})
