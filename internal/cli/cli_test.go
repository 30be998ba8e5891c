package cli_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/cli"
	"boragefall/internal/config"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}

// outcome is what a command leaves behind.
type outcome struct {
	code     int
	out, err string
}

func run(ctx SpecContext, args ...string) outcome {
	var out, errs bytes.Buffer
	code := cli.Run(ctx, args, cli.Streams{In: &bytes.Buffer{}, Out: &out, Err: &errs})
	return outcome{code: code, out: out.String(), err: errs.String()}
}

var (
	fyrnet = filepath.Join("..", "..", "examples", "fyrnet")
	anilla = filepath.Join("..", "..", "examples", "anilla-sur")
)

// fyrnetWith returns a copy of the Fyrnet example with one more file.
func fyrnetWith(name, content string) string {
	dir := GinkgoT().TempDir()
	Expect(os.CopyFS(dir, os.DirFS(fyrnet))).To(Succeed())
	Expect(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600)).To(Succeed())
	return dir
}

var _ = Describe("check", func() {
	It("accepts the examples and lists their files in merge order", func(ctx SpecContext) {
		for _, dir := range []string{fyrnet, anilla} {
			got := run(ctx, "check", dir)
			Expect(got.code).To(Equal(cli.ExitOK))
			Expect(got.out).To(MatchRegexp(`(?s)^✓ 00-epoch\.json\n✓ 10-.*✓ 40-callers\.json\naccepted: files 9, epoch 1, hash [0-9a-f]{16}, rules 1\n$`))
			Expect(got.err).To(BeEmpty())
		}
	})

	It("rejects a folder with a mark of the file, a hint and exit code 1", func(ctx SpecContext) {
		dir := fyrnetWith("90-typo.json", `{"dataCentres":{"esbjrg":{"leaving":true}}}`)
		got := run(ctx, "check", dir)
		Expect(got.code).To(Equal(cli.ExitNo))
		Expect(got.out).To(ContainSubstring("✗ 90-typo.json: /dataCentres/esbjrg/region: required, but not set by any file\n" +
			"    hint: state the region; if this is a mark, look for a misspelt data centre\nrejected: problems 1, rules 1\n"))
		Expect(got.out).NotTo(ContainSubstring("✓ 90-typo.json"))
	})

	It("prints JSON for scripts", func(ctx SpecContext) {
		got := run(ctx, "check", "--json", fyrnetWith("90-bad.json", "{"))
		Expect(got.code).To(Equal(cli.ExitNo))
		var result struct {
			OK       bool             `json:"ok"`
			Files    []string         `json:"files"`
			Problems []config.Problem `json:"problems"`
		}
		Expect(json.Unmarshal([]byte(got.out), &result)).To(Succeed())
		Expect(result.OK).To(BeFalse())
		Expect(result.Files).To(HaveLen(10))
		Expect(result.Problems).To(HaveLen(1))
	})
})

var _ = Describe("explain-request", func() {
	It("prints the lines of a request, its server's calls and the cause", func(ctx SpecContext) {
		log := filepath.Join(GinkgoT().TempDir(), "node.log")
		Expect(os.WriteFile(log, []byte(
			`host-a {"time":"2026-06-20T21:25:14.9Z","part":"entry","request":"51df","status":500,"message":"the server's own failure passed on"}`+"\n"+
				`host-c {"time":"2026-06-20T21:25:14.8Z","part":"gate","request":"51df.1","reason":"cold","slots":6,"message":"refused"}`+"\n"+
				`host-a {"time":"2026-06-20T21:25:14.85Z","part":"entry","request":"51df.1","status":503,"reason":"cold","message":"answered by the node itself"}`+"\n",
		), 0o600)).To(Succeed())
		got := run(ctx, "explain-request", "51df", log)
		Expect(got.code).To(Equal(cli.ExitOK), got.err)
		Expect(got.out).To(Equal("51df\n" +
			"  21:25:14.900 host-a entry: the server's own failure passed on status=500\n" +
			"call 51df.1\n" +
			"  21:25:14.800 host-c gate: refused [cold] slots=6\n" +
			"  21:25:14.850 host-a entry: answered by the node itself [cold] status=503\n" +
			"cause: the server failed the request after its own calls failed: 51df.1: cold\n"))
	})

	It("says with exit code 1 that no line is about an id", func(ctx SpecContext) {
		got := run(ctx, "explain-request", "77aa")
		Expect(got.code).To(Equal(cli.ExitNo))
		Expect(got.out).To(HavePrefix("✗ no line is about 77aa"))
	})

	It("asks for the id, and names a file that is not there", func(ctx SpecContext) {
		Expect(run(ctx, "explain-request").code).To(Equal(cli.ExitUsage))
		got := run(ctx, "explain-request", "77aa", filepath.Join(GinkgoT().TempDir(), "none.log"))
		Expect(got.code).To(Equal(cli.ExitUsage))
		Expect(got.err).To(ContainSubstring("none.log"))
	})
})

var _ = Describe("merge", func() {
	It("prints a file that means the same as the folder", func(ctx SpecContext) {
		for _, flags := range [][]string{nil, {"--defaults"}} {
			got := run(ctx, append(append([]string{"merge"}, flags...), fyrnet)...)
			Expect(got.code).To(Equal(cli.ExitOK))
			dir := GinkgoT().TempDir()
			Expect(os.WriteFile(filepath.Join(dir, "all.json"), []byte(got.out), 0o600)).To(Succeed())
			Expect(run(ctx, "diff", "--exit-code", fyrnet, dir)).To(Equal(outcome{out: "no changes\n"}))
		}
	})

	It("prints the problems of a rejected folder and nothing else", func(ctx SpecContext) {
		got := run(ctx, "merge", fyrnetWith("90-bad.json", `{"epoch":"x"}`))
		Expect(got.code).To(Equal(cli.ExitNo))
		Expect(got.out).To(BeEmpty())
		Expect(got.err).To(ContainSubstring(`90-bad.json: /epoch: "x" is not a whole number of 0 or more`))
	})
})

var _ = DescribeTable("explain", func(ctx SpecContext, pointer string, code int, out, errs string) {
	dir := fyrnetWith("90-marks.json", `{"dataCentres":{"esbjerg":{"leaving":true}},"services":{"status":{"slots":8,"coldLimit":null}}}`)
	Expect(run(ctx, "explain", dir, pointer)).To(Equal(outcome{code: code, out: out, err: errs}))
},
	Entry("a value set twice", "/services/status/slots", cli.ExitOK,
		"/services/status/slots = 8 (90-marks.json), overrides 10-services-status.json\n", ""),
	Entry("a removed value", "/services/status/coldLimit", cli.ExitOK,
		"/services/status/coldLimit = 1 (default), overrides 10-services-status.json, 90-marks.json\n", ""),
	Entry("an object", "/dataCentres/esbjerg", cli.ExitOK,
		"/dataCentres/esbjerg/leaving = true (90-marks.json)\n/dataCentres/esbjerg/region = \"denmark-west\" (30-datacentres.json)\n", ""),
	Entry("nothing", "/services/none", cli.ExitNo, "",
		"boragefall: \"/services/none\": no file sets or removes a value there, and it has no default\n"),
	Entry("no pointer", "services", cli.ExitUsage, "", "boragefall: \"services\": a JSON pointer is empty or starts with /\n"),
)

var _ = Describe("diff", func() {
	It("speaks of marks, with exit code 1 only when asked", func(ctx SpecContext) {
		dir := fyrnetWith("90-marks.json", `{"dataCentres":{"esbjerg":{"leaving":true}}}`)
		line := "leaving mark of data centre esbjerg added\n"
		Expect(run(ctx, "diff", fyrnet, dir)).To(Equal(outcome{out: line}))
		Expect(run(ctx, "diff", "--exit-code", fyrnet, dir)).To(Equal(outcome{code: cli.ExitNo, out: line}))
		var changes []config.Change
		Expect(json.Unmarshal([]byte(run(ctx, "diff", "--json", dir, fyrnet).out), &changes)).To(Succeed())
		Expect(changes).To(Equal([]config.Change{{Kind: config.ChangeRemoved, Object: config.ObjectDataCentreMark, Name: "esbjerg"}}))
	})
})

var _ = DescribeTable("The command line", func(ctx SpecContext, code int, pattern string, args ...string) {
	got := run(ctx, args...)
	Expect(got.code).To(Equal(code))
	Expect(got.out + got.err).To(MatchRegexp(pattern))
},
	Entry("without a command", cli.ExitUsage, `SUBCOMMANDS`),
	Entry("with an unknown command", cli.ExitUsage, `unknown command "chek"`, "chek"),
	Entry("with an unknown flag", cli.ExitUsage, `not defined`, "check", "--no", "x"),
	Entry("with too few arguments", cli.ExitUsage, `want 2 arguments \(DIR POINTER\), got 1`, "explain", fyrnet),
	Entry("with a folder that does not exist", cli.ExitUsage, `no such file`, "check", "none"),
	Entry("asked for help", cli.ExitOK, `(?s)USAGE.*check examples/fyrnet`, "check", "-h"),
	Entry("asked for its version", cli.ExitOK, `^boragefall .* rules 1\n$`, "version"),
)
