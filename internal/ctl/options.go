package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultTimeout bounds a command: several elections, and entries that are slow
// to take a declaration over.
const defaultTimeout = 15 * time.Second

// options are the flags that say which deployment a command is for.
type options struct {
	settings string
	control  []string
	cluster  string
	auth     settings.Auth
	output   string
	timeout  time.Duration
}

func (o *options) add(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&o.settings, "settings", "", "take cluster, control and auth from this settings file of a process")
	f.StringSliceVar(&o.control, "control", nil, "addresses of the control replicas, IP:port, comma separated")
	f.StringVar(&o.cluster, "cluster", "", "cluster id")
	f.StringVar(&o.auth.SharedKeyFile, "shared-key-file", "", "file with the shared key")
	f.StringVar(&o.auth.CertFile, "cert-file", "", "certificate (PEM), turns TLS on")
	f.StringVar(&o.auth.KeyFile, "key-file", "", "key of the certificate (PEM)")
	f.StringVar(&o.auth.CAFile, "ca-file", "", "CA of the deployment (PEM)")
	f.StringVar(&o.output, "output", outputText, "text or json")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "how long to try")
}

// commonFile is the part of any process's settings file that is used here.
type commonFile struct {
	Common settings.Common `yaml:"common"`
}

// client gives a client by the flags, or says what is missing.
func (o *options) client() (*Client, error) {
	if o.output != outputText && o.output != outputJSON {
		return nil, usage("--output is neither text nor json")
	}
	if o.settings != "" {
		if err := o.fromSettings(); err != nil {
			return nil, err
		}
	}
	switch {
	case len(o.control) == 0:
		return nil, usage("--control or --settings is needed")
	case o.cluster == "":
		return nil, usage("--cluster or --settings is needed")
	case o.auth.SharedKeyFile == "" && !o.auth.TLS():
		return nil, usage("--shared-key-file, --cert-file or --settings is needed")
	}
	auth, err := rpc.LoadAuth(o.auth)
	if err != nil {
		return nil, err
	}
	return NewClient(o.cluster, o.control, auth), nil
}

// fromSettings fills what the flags leave out. The process that runs from the
// file checks it strictly; here only the common part is looked at.
func (o *options) fromSettings() error {
	data, err := os.ReadFile(o.settings)
	if err != nil {
		return cli.WithCode(cli.ExitInvalid, err)
	}
	var file commonFile
	if err := yaml.Unmarshal(data, &file); err != nil {
		return cli.WithCode(cli.ExitInvalid, err)
	}
	if len(o.control) == 0 {
		o.control = file.Common.Control
	}
	if o.cluster == "" {
		o.cluster = file.Common.Cluster
	}
	if o.auth.SharedKeyFile == "" && !o.auth.TLS() {
		o.auth = file.Common.Auth
	}
	return nil
}

func usage(problem string) error {
	return cli.WithCode(cli.ExitUsage, errorx.IllegalArgument.New("%s", problem))
}

// run gives a command its client and deadline, and errors their exit codes.
func (o *options) run(do func(ctx context.Context, c *Client, out io.Writer, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
		defer cancel()
		return coded(do(ctx, c, cmd.OutOrStdout(), args))
	}
}

func coded(err error) error {
	switch {
	case errorx.IsOfType(err, Refused):
		return cli.WithCode(cli.ExitRefused, err)
	case errorx.IsOfType(err, NoAnswer):
		return cli.WithCode(cli.ExitUnknown, err)
	}
	return err
}

// print writes a message as JSON, or what text writes.
func (o *options) print(out io.Writer, m proto.Message, text func(io.Writer) error) error {
	if o.output != outputJSON {
		return text(out)
	}
	data, err := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	var indented json.RawMessage = data
	pretty, err := json.MarshalIndent(indented, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(pretty))
	return err
}
