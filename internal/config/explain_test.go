package config_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
)

var _ = Describe("Explain", func() {
	files := baseFolder(
		"80.json", `{"services":{"status":{"slots":12,"coldLimit":3}},"hosts":{"a":{"leaving":true}}}`,
		"90.json", `{"services":{"status":{"slots":14,"coldLimit":null}},"hosts":{"a":null}}`)

	DescribeTable("names the file of a value and the files it overrode",
		func(pointer string, want config.Origin) {
			provenance, err := config.Explain(files, pointer)
			Expect(err).NotTo(HaveOccurred())
			want.Pointer = pointer
			Expect(provenance.Origins).To(Equal([]config.Origin{want}))
		},
		Entry("set three times", "/services/status/slots", config.Origin{
			Value: json.RawMessage("14"), Source: config.SourceFile, File: "90.json", Overridden: []string{"10-services.json", "80.json"},
		}),
		Entry("removed", "/hosts/a", config.Origin{Source: config.SourceRemoved, File: "90.json", Overridden: []string{"80.json"}}),
		Entry("removed, so the default applies", "/services/status/coldLimit", config.Origin{
			Value: json.RawMessage("1"), Source: config.SourceDefault, Overridden: []string{"80.json", "90.json"},
		}),
		Entry("never set by a file", "/routes/lookup/idempotent", config.Origin{Value: json.RawMessage("false"), Source: config.SourceDefault}),
	)

	It("explains all values below a pointer, in order", func() {
		provenance, err := config.Explain(files, "/routes/lookup/match")
		Expect(err).NotTo(HaveOccurred())
		Expect(provenance.Origins).To(HaveLen(1))
		Expect(provenance.Origins[0].Pointer).To(Equal("/routes/lookup/match/pathPrefix"))
	})

	It("explains a rejected folder whose files can be read", func() {
		provenance, err := config.Explain(baseFolder("90.json", `{"epoch":"x"}`), "/epoch")
		Expect(err).NotTo(HaveOccurred())
		Expect(provenance.Origins[0].File).To(Equal("90.json"))
	})

	It("returns a typed error", func() {
		_, err := config.Explain(files, "services")
		Expect(err).To(MatchError(config.ErrBadPointer))
		_, err = config.Explain(files, "/routes/none")
		Expect(err).To(MatchError(config.ErrNoValue))
		_, err = config.Explain(baseFolder("90.json", "{"), "")
		Expect(err).To(MatchError(config.ErrRejected))
	})
})
