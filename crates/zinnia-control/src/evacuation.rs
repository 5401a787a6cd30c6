//! Requests of operators to take a failure domain out of service, or back.

use zinnia_plan::Record;
use zinnia_plan::RunOrder;
use zinnia_plan::State;

use crate::Answer;
use crate::EvacuationRequest;
use crate::context::MemberContext;

impl MemberContext {
    /// Handles a request on the leader. It is acknowledged once it is committed.
    ///
    /// Domains are known from the settings, and from workers, since the settings of an earlier build name none.
    /// Without domains in the settings any name is taken, as the workers of a domain may register later. A domain
    /// can always be taken back.
    pub(crate) async fn evacuate(&self, request: EvacuationRequest) -> Answer {
        let EvacuationRequest {
            domain,
            evacuated,
            deadline,
        } = request;
        if let Err(answer) = self.check_deadline(deadline, &domain) {
            return answer;
        }
        if !self.knows_domain(&domain) {
            tracing::warn!(
                event = "evacuate",
                domain,
                "no failure domain has this name"
            );
            return self.confirm_leader(Answer::NoDomain);
        }
        // What is applied is committed. A repeated request needs no entry of its own.
        if self.cell_state().state.is_evacuated(&domain) == evacuated {
            return self.confirm_leader(Answer::Done);
        }
        let record = Record::Evacuate {
            domain: domain.clone(),
            evacuated,
        };
        let answer = self.commit(vec![record]).await;
        tracing::info!(event = "evacuate", domain, evacuated, answer = ?answer, "evacuation request was answered");
        answer
    }

    fn knows_domain(&self, domain: &str) -> bool {
        let regions = &self.settings.plan.regions;
        let cell = self.cell_state();
        regions.is_empty()
            || regions.of(domain).is_some()
            || cell.state.is_evacuated(domain)
            || cell.state.has_domain(domain)
    }
}

/// Reports the failure domains that are out of service.
pub(crate) fn report_domains(state: &State) {
    let domains: Vec<&str> = state.evacuated_domains().collect();
    metrics::gauge!("zinnia_evacuated_domains").set(domains.len() as f64);
    tracing::info!(event = "evacuated", domains = ?domains, "failure domains out of service");
}

/// Reports an order that is not sent, because the domain of its worker is out of service.
pub(crate) fn report_held_order(order: &RunOrder) {
    metrics::counter!("zinnia_held_orders_total").increment(1);
    tracing::info!(
        event = "start", task = %order.task, run = order.run, worker = order.worker,
        "start order is held back: a failure domain of the step has been taken out of service"
    );
}
