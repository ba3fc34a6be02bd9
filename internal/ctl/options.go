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

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultTimeout is the timeout of a command. It allows for several elections, and for entries that
// adopt a declaration slowly.
const defaultTimeout = 15 * time.Second

// options holds the flags that all commands share: the deployment, how to reach it and the output
// format.
type options struct {
	settings string
	control  []string
	cluster  string
	auth     settings.Auth
	output   string
	timeout  time.Duration
}

func (o *options) addFlags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&o.settings, "settings", "", "settings file of a process to take cluster, control and auth from")
	f.StringSliceVar(&o.control, "control", nil, "addresses of the control replicas, IP:port, comma-separated")
	f.StringVar(&o.cluster, "cluster", "", "cluster id")
	f.StringVar(&o.auth.SharedKeyFile, "shared-key-file", "", "file with the shared key")
	f.StringVar(&o.auth.CertFile, "cert-file", "", "certificate (PEM), enables TLS")
	f.StringVar(&o.auth.KeyFile, "key-file", "", "key of the certificate (PEM)")
	f.StringVar(&o.auth.CAFile, "ca-file", "", "CA of the deployment (PEM)")
	f.StringVar(&o.output, "output", outputText, "text or json")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "how long to retry before giving up")
}

// commonFile is the part of a process's settings file that is used here.
type commonFile struct {
	Common settings.Common `yaml:"common"`
}

// newClient returns a client as set by the flags, or an error that names a missing flag.
func (o *options) newClient() (*Client, error) {
	if o.output != outputText && o.output != outputJSON {
		return nil, usageError("--output is neither text nor json")
	}
	if o.settings != "" {
		if err := o.fillFromSettings(); err != nil {
			return nil, err
		}
	}
	switch {
	case len(o.control) == 0:
		return nil, usageError("--control or --settings is needed")
	case o.cluster == "":
		return nil, usageError("--cluster or --settings is needed")
	case o.auth.SharedKeyFile == "" && !o.auth.TLS():
		return nil, usageError("--shared-key-file, --cert-file or --settings is needed")
	}
	auth, err := rpc.LoadAuth(o.auth)
	if err != nil {
		return nil, err
	}
	return NewClient(o.cluster, o.control, auth), nil
}

// fillFromSettings sets the options that the flags leave out. It decodes only the common part of the
// file; the process whose file it is checks it strictly.
func (o *options) fillFromSettings() error {
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

func usageError(problem string) error {
	return cli.WithCode(cli.ExitUsage, errorx.IllegalArgument.New("%s", problem))
}

// withClient runs a command with a client and a deadline, and sets the exit codes of its errors.
func (o *options) withClient(runCommand func(ctx context.Context, c *Client, out io.Writer, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		c, err := o.newClient()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
		defer cancel()
		return withExitCode(runCommand(ctx, c, cmd.OutOrStdout(), args))
	}
}

func withExitCode(err error) error {
	switch {
	case errorx.IsOfType(err, Refused):
		return cli.WithCode(cli.ExitRefused, err)
	case errorx.IsOfType(err, NoAnswer):
		return cli.WithCode(cli.ExitUnknown, err)
	}
	return err
}

// printResult writes the message as JSON, or calls printText, depending on --output.
func (o *options) printResult(out io.Writer, m proto.Message, printText func(io.Writer) error) error {
	if o.output != outputJSON {
		return printText(out)
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
