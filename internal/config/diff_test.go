package config_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
)

func buildDocument(files []config.File) *config.Document {
	snapshot, report := config.Build(1, files)
	Expect(report.Problems).To(BeEmpty())
	return snapshot.Document
}

var _ = DescribeTable("DiffDocuments lists changes by configuration object",
	func(change string, want ...string) {
		before, after := buildDocument(baseFolder()), buildDocument(baseFolder("90.json", change))
		lines := []string{}
		for _, c := range config.DiffDocuments(before, after) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal(want))
	},
	Entry("a data centre marked as leaving", `{"dataCentres":{"esbjerg":{"leaving":true}}}`,
		"leaving mark of data centre esbjerg added"),
	Entry("a host marked as leaving and one marked as not leaving", `{"hosts":{"a":{"leaving":true},"b":{"leaving":false}}}`,
		"leaving mark of host a added"),
	Entry("an explicitly set default is no change", `{"routes":{"lookup":{"timeout":"10s","retries":2}}}`),
	Entry("several", `{"epoch":3,"services":{"ordering":{"slots":2,"connections":9}},"callers":{"crew":{}},
		"routes":{"lookup":null,"look":{"match":{"path":"/a","methods":["GET"]},"service":"status"}},
		"dataCentres":{"esbjerg":{"region":"denmark-east"}}}`,
		"epoch changed: 0 -> 3",
		"service ordering added",
		"route look added",
		"route lookup removed",
		"caller crew added",
		`data centre esbjerg changed: region "denmark-west" -> "denmark-east"`),
	Entry("fields of a route", `{"routes":{"lookup":{"retries":0,"match":{"methods":["GET"],"pathPrefix":null,"path":"/status"}}}}`,
		`route lookup changed: match/methods none -> ["GET"], match/path none -> "/status", match/pathPrefix "/status" -> none, retries 2 -> 0`),
)
