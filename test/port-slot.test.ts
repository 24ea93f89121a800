import { claimPorts, firstPortVariable, portsPerRun } from "./port-slot";

// Guards against requests that reach an instance of another run of jest on the same machine, at a port that both use.
test("a run does not get the ports of another run", async () => {
    const ownFirstPort = Number(process.env[firstPortVariable]);
    await claimPorts();
    const otherFirstPort = Number(process.env[firstPortVariable]);
    process.env[firstPortVariable] = String(ownFirstPort);
    expect(Math.abs(otherFirstPort - ownFirstPort)).toBeGreaterThan(portsPerRun);
});
