package workload_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/workload"
)

// TestDeploymentsMatchTheirFolders compares what the stand-in servers bear with
// what the example folders tell the gates.
func TestDeploymentsMatchTheirFolders(t *testing.T) {
	g := NewWithT(t)
	for _, d := range workload.Deployments() {
		files, err := d.Folder()
		g.Expect(err).NotTo(HaveOccurred())
		snapshot, report := config.Build(1, files)
		g.Expect(report.OK()).To(BeTrue(), report.Error())
		for _, size := range d.Services {
			service, ok := snapshot.Document.Services[size.Name]
			g.Expect(ok).To(BeTrue(), size.Name)
			g.Expect(service.ColdLimit).To(BeNumerically("<=", size.ColdLimit), size.Name)
			g.Expect(service.Slots).To(BeNumerically("<=", size.Slots), size.Name)
			g.Expect(service.Connections).To(BeNumerically("<=", size.Connections), size.Name)
		}
		for _, centre := range d.DataCentres {
			g.Expect(snapshot.Document.DataCentres).To(HaveKey(centre))
		}
	}
}
