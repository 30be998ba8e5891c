package config_test

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/datacentre"
)

func readExample(name string) []config.File {
	files, err := config.ReadFolder(filepath.Join("..", "..", "examples", name))
	Expect(err).NotTo(HaveOccurred())
	return files
}

var _ = DescribeTable("Build accepts each example folder", func(folder string, services, dataCentres []string) {
	snapshot, report := config.Build(7, readExample(folder))
	Expect(report.Problems).To(BeEmpty())
	Expect(snapshot.Version).To(Equal(config.Version{Epoch: 1, Revision: 7}))
	for _, name := range services {
		Expect(snapshot.Document.Services).To(HaveKey(name))
	}
	Expect(snapshot.Document.DataCentres).To(HaveLen(len(dataCentres)))
	for _, name := range dataCentres {
		Expect(snapshot.Document.DataCentres).To(HaveKey(datacentre.ID(name)))
	}
	Expect(snapshot.Document.Callers).To(HaveLen(3))
},
	Entry("Fyrnet", "fyrnet", []string{"status", "ordering", "logbook"},
		[]string{"esbjerg", "hvide-sande", "thyboron", "hirtshals"}),
	Entry("Anilla Sur", "anilla-sur", []string{"results", "clocking", "release"},
		[]string{"valparaiso", "rancagua", "talca", "santiago"}),
)
